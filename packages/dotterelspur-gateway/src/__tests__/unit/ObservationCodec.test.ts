import { expect } from 'chai'
import { pack } from 'msgpackr'
import type { FleetObservation } from 'dotterelspur'
import { ObservationCodec } from '../../connection/ObservationCodec.js'

const FLEET: FleetObservation = {
  inFlight: { g1: 4, g2: 1 },
  flows: { 'llm/small': { asked: 3.25, sent: 2, ended: 1.5 } },
  demand: { small: { groupTimeMs: 812, requests: 4.5 } },
  speeds: { g2: { ratioSum: 12.5, pauses: 5 } },
  pauses: { small: { longestSumMs: 80, nodes: 1 } },
  firstEvents: { small: { delaySumMs: 220, nodes: 2 } },
  deadlines: { usual: { draft: { usualSumMs: 16_500, nodes: 3 } }, leastShare: { sum: 2.75, nodes: 3 } },
  limits: { g1: { requestsPerSecond: 0.25, ageMs: 120 }, g2: { requestsPerSecond: null, ageMs: 3 } },
  rests: { g2: 1_850 },
  leaving: ['g2'],
  nodes: 3,
  ageMs: 40,
  intervalMs: 150
}

function createCodec (...endpoints: string[]): ObservationCodec {
  const codec = new ObservationCodec()
  codec.setEndpoints(new Set(endpoints))
  return codec
}

describe('ObservationCodec', () => {
  it('decodes what another node has encoded', () => {
    expect(createCodec('g1', 'g2').decodeFleet(createCodec('g1', 'g2').encodeFleet(FLEET))).to.deep.equal(FLEET)
  })

  it('decodes failures, and sends nothing while no endpoint fails', () => {
    const failures = { g1: { failures: 2.25, answers: 31.5 } }
    const codec = createCodec('g1', 'g2')
    expect(codec.decodeFleet(codec.encodeFleet({ ...FLEET, failures }))).to.deep.equal({ ...FLEET, failures })
    expect(codec.encodeFleet(FLEET)).to.not.have.property('failures')
  })

  // Guards against a frame that keeps all requests away from an endpoint.
  it('drops failures that no correct node sends', () => {
    const codec = createCodec('g1', 'g2')
    const failures = { g1: { failures: -3, answers: 0 }, g2: { failures: Infinity, answers: 1 } }
    expect(codec.decode(codec.encode({ ...FLEET, failures })).failures).to.deep.equal({})
  })

  it('drops endpoints that are not listed at this node', () => {
    expect(createCodec('g1').decodeFleet(createCodec('g1', 'g2').encodeFleet(FLEET)).inFlight).to.deep.equal({ g1: 4 })
  })

  it('drops endpoints that are no longer listed', () => {
    const codec = createCodec('g1', 'g2')
    codec.setEndpoints(new Set(['g2']))
    expect(codec.decode(codec.encode(FLEET)).inFlight).to.deep.equal({ g2: 1 })
  })

  it('encodes a hundred groups in less than a kilobyte', () => {
    const inFlight = Object.fromEntries(Array.from({ length: 100 }, (_unused, index) => [`i-${index}a7f3c91c2@1764731000000`, index % 12]))
    expect(pack(new ObservationCodec().encodeFleet({ ...FLEET, inFlight })).length).to.be.below(1_000)
  })
})
