import { expect } from 'chai'
import { EndpointPath, EndpointPaths } from '../../EndpointPaths.js'

const ENDPOINTS = Array.from({ length: 20 }, (_unused, index) => `e${index}`)

function createPaths (endpoints: readonly string[] = ENDPOINTS): EndpointPaths {
  const paths = new EndpointPaths()
  paths.retain(new Set(endpoints))
  return paths
}

function cutOff (paths: EndpointPaths, nowMs: number): void {
  for (const endpoint of ENDPOINTS.slice(0, 3)) paths.noteRelayed(endpoint, nowMs)
}

describe('EndpointPaths', () => {
  it('relays all connections once three endpoints in a row were reached by others only', () => {
    // Load pattern: a node loses all links, and each endpoint that it tries is reached by others.
    const paths = createPaths()
    paths.noteDirect('e9', 0)
    const shown = ENDPOINTS.slice(0, 4).map((endpoint, index) => paths.noteRelayed(endpoint, 10 + index))
    expect(shown).to.deep.equal([false, false, true, false])
    expect(paths.isCutOff).to.equal(true)
    expect(paths.firstPath('e19')).to.equal(EndpointPath.Relayed)
  })

  it('relays connections to the endpoints that it does not reach where others are reached', () => {
    // Load pattern: some links of a node fail, and direct connections to other endpoints succeed in between.
    const paths = createPaths()
    for (const [index, endpoint] of ENDPOINTS.slice(0, 10).entries()) {
      paths.noteRelayed(endpoint, index)
      paths.noteDirect(ENDPOINTS[10 + index]!, index)
    }
    expect(paths.isCutOff).to.equal(false)
    expect(paths.firstPath('e0')).to.equal(EndpointPath.Relayed)
    expect(paths.firstPath('e19')).to.equal(EndpointPath.Direct)
  })

  it('is not cut off by the same endpoint several times', () => {
    const paths = createPaths()
    for (let nowMs = 0; nowMs < 10; nowMs++) paths.noteRelayed('e0', nowMs)
    expect(paths.isCutOff).to.equal(false)
  })

  it('needs no more endpoints for its verdict than are listed', () => {
    const paths = createPaths(['e0', 'e1'])
    expect([paths.noteRelayed('e0', 0), paths.noteRelayed('e1', 0)]).to.deep.equal([false, true])
  })

  it('tries one endpoint after the other directly while it is cut off', () => {
    const paths = createPaths()
    cutOff(paths, 0)
    expect(Array.from({ length: 4 }, () => paths.takeDirectRetries())).to.deep.equal([['e0'], ['e1'], ['e2'], ['e0']])
  })

  it('tries some endpoints directly at a time where only some are relayed', () => {
    const paths = createPaths()
    for (const [index, endpoint] of ENDPOINTS.slice(0, 6).entries()) {
      paths.noteRelayed(endpoint, index)
      paths.noteDirect('e19', index)
    }
    expect(paths.takeDirectRetries()).to.deep.equal(['e0', 'e1', 'e2', 'e3'])
    expect(paths.takeDirectRetries()).to.deep.equal(['e4', 'e5', 'e0', 'e1'])
  })

  it('has an endpoint to try while it is cut off, after all that it knows of have left', () => {
    const paths = createPaths()
    cutOff(paths, 0)
    paths.retain(new Set(['e10', 'e11']))
    expect(paths.takeDirectRetries()).to.deep.equal(['e10'])
  })

  it('connects directly again after the first direct connection', () => {
    const paths = createPaths()
    cutOff(paths, 0)
    expect(paths.noteDirect('e7', 500)).to.equal(true)
    expect(paths.isCutOff).to.equal(false)
    expect(ENDPOINTS.map((endpoint) => paths.firstPath(endpoint))).not.to.include(EndpointPath.Relayed)
    expect(paths.noteDirect('e7', 501)).to.equal(false)
  })

  it('doubts its links when two endpoints fall silent together, not when one does', () => {
    const paths = createPaths()
    expect(paths.noteSilent('e0', 0)).to.equal(false)
    expect(paths.noteSilent('e0', 100)).to.equal(false)
    expect(paths.noteSilent('e1', 900)).to.equal(false)
    expect(paths.noteSilent('e2', 1_000)).to.equal(true)
  })
})
