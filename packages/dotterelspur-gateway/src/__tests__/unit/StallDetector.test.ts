import { expect } from 'chai'
import { ManualClock, RequestKind, type DispatchTarget } from 'dotterelspur'
import { StallDetector, StallCertainty, type ExchangeHandle } from '../../process/StallDetector.js'
import { createRoute } from '../fixtures/builders.js'

const STEP_MS = 50
const LIMIT_MS = 200
const ROUTE = createRoute('draft', { kind: RequestKind.Streaming, targetLatencyMs: 500, targetGapMs: 300 })

function createTarget (endpoint: string): DispatchTarget {
  return { endpoint, service: 'llm', address: '10.0.0.1:1', failureDomain: 'a', model: 'large', slots: 12 }
}

/** A detector, its reports, and the requests whose silence it reported. */
class DetectorWorld {
  readonly clock = new ManualClock()
  readonly stalled: string[] = []
  readonly silent: string[] = []
  readonly stillSilent: string[] = []
  readonly gapsMs: number[] = []
  hasAlternative = true
  readonly detector = new StallDetector(this.clock, {
    onProgress: (_target, _head, gapMs) => { if (gapMs !== null) this.gapsMs.push(gapMs) },
    pauseLimitMs: () => LIMIT_MS,
    onStalled: ({ endpoint }) => { this.stalled.push(endpoint) },
    onStillSilent: ({ endpoint }) => { this.stillSilent.push(endpoint) },
    mayRunElsewhere: () => this.hasAlternative
  })

  constructor () {
    this.detector.start()
  }

  send (name: string, endpoint: string, mayRetry = true): ExchangeHandle {
    return this.detector.begin(createTarget(endpoint), ROUTE, mayRetry, () => { this.silent.push(name) })
  }

  /** Starts a stream and lets it continue for `passes` steps. */
  stream (name: string, endpoint: string, passes: number): ExchangeHandle {
    const handle = this.send(name, endpoint)
    for (let pass = 0; pass < passes; pass++) {
      handle.noteProgress(null)
      this.pass(STEP_MS)
    }
    return handle
  }

  /** Advances time in steps, as timers observe it in a running process. */
  pass (durationMs: number): void {
    for (let left = durationMs; left > 0; left -= 10) this.clock.advance(10)
  }
}

describe('StallDetector', () => {
  it('reports requests that wait at a stalled group while they can still be on time elsewhere', () => {
    // Guards against responses after 1.2 to 1.8 s from a group that lost a member although other groups are idle: the
    // head accepts requests and sends nothing, and each request waited for its own first event for three times its
    // target latency, regardless of the group's other stalled streams.
    const world = new DetectorWorld()
    world.stream('begun', 'g1', 4)
    world.send('waiting', 'g1')
    world.send('elsewhere', 'g2')
    world.pass(LIMIT_MS + STEP_MS)
    expect(world.stalled).to.deep.equal(['g1'])
    expect(world.silent).to.deep.equal(['waiting'])
  })

  it('reports a stall once, and again after the group has made progress', () => {
    const world = new DetectorWorld()
    const stream = world.stream('begun', 'g1', 2)
    world.pass(2 * LIMIT_MS)
    expect(world.stalled).to.deep.equal(['g1'])
    stream.noteProgress(null)
    world.pass(2 * LIMIT_MS)
    expect(world.stalled).to.deep.equal(['g1', 'g1'])
  })

  it('suspects no group of which another stream makes progress', () => {
    const world = new DetectorWorld()
    world.stream('slow', 'g1', 1)
    world.stream('other', 'g1', 8)
    expect(world.stalled).to.deep.equal([])
  })

  it('does not attribute a pause of its own process to endpoints', () => {
    // Guards against a node that sends every request twice when it is short of processor time: after its process is
    // suspended for a quarter of a second, timers run before buffered data is read, and that time counted as the
    // endpoints' silence.
    const world = new DetectorWorld()
    const stream = world.stream('begun', 'g1', 4)
    world.clock.pause(2 * LIMIT_MS)
    world.clock.advance(10)
    stream.noteProgress(null)
    expect(world.stalled).to.deep.equal([])
  })

  it('does not treat a caller that stops reading as a stall', () => {
    const world = new DetectorWorld()
    const stream = world.stream('begun', 'g1', 2)
    stream.noteCallerPaused(true)
    world.pass(10 * LIMIT_MS)
    stream.noteCallerPaused(false)
    stream.noteProgress(null)
    expect(world.stalled).to.deep.equal([])
    expect(world.silent).to.deep.equal([])
    expect(world.gapsMs.every((gapMs) => gapMs <= STEP_MS)).to.equal(true)
  })

  it('accepts another node\'s report on a group from which it has no newer data', () => {
    const world = new DetectorWorld()
    world.stream('begun', 'g1', 2)
    world.send('waiting', 'g2')
    world.pass(LIMIT_MS)
    expect(world.detector.noteStalled('g2', StallCertainty.Suspected)).to.equal(true)
    expect(world.silent).to.deep.equal(['waiting'])
    world.stream('works', 'g3', 3)
    world.send('waiting there', 'g3').noteProgress(null)
    expect(world.detector.noteStalled('g3', StallCertainty.Confirmed)).to.equal(false)
  })

  it('reports no request that could not be sent elsewhere', () => {
    // Guards against lost requests when many groups are slow. With two fifths of the groups twelve times slower,
    // requests moved from one apparently stalled group to the next until their attempts or the retry budget were spent,
    // and three times as many ended without a response.
    const world = new DetectorWorld()
    world.stream('begun', 'g1', 2)
    world.send('last attempt', 'g1', false)
    world.pass(2 * LIMIT_MS)
    expect(world.stalled).to.deep.equal(['g1'])
    expect(world.silent).to.deep.equal([])
    world.hasAlternative = false
    world.stream('begun', 'g2', 2)
    world.send('no alternative', 'g2')
    world.pass(LIMIT_MS + STEP_MS)
    expect(world.silent).not.to.include('no alternative')
  })

  it('reports started streams after another node\'s report only when the loss of a member is confirmed', () => {
    const world = new DetectorWorld()
    world.stream('begun', 'g1', 3)
    world.pass(LIMIT_MS - STEP_MS)
    expect(world.detector.noteStalled('g1', StallCertainty.Suspected)).to.equal(true)
    expect(world.silent).to.deep.equal([])
    world.detector.noteStalled('g1', StallCertainty.Confirmed)
    expect(world.silent).to.deep.equal(['begun'])
  })

  it('reports a silent exchange a few times a second while it lasts, and not after it has gone on', () => {
    // Guards against streams that stay at a lost group although the retry budget has returned: each silence was reported once.
    const world = new DetectorWorld()
    const stream = world.stream('begun', 'g1', 2)
    world.pass(3_000)
    expect(world.silent.length).to.be.within(5, 12)
    stream.noteProgress(null)
    const before = world.silent.length
    world.pass(3 * STEP_MS)
    expect(world.silent).to.have.length(before)
  })

  it('reports a silent exchange as soon as another endpoint takes requests', () => {
    const world = new DetectorWorld()
    world.hasAlternative = false
    world.stream('begun', 'g1', 2)
    world.pass(3_000)
    expect(world.silent).to.deep.equal([])
    world.hasAlternative = true
    world.pass(STEP_MS)
    expect(world.silent).to.deep.equal(['begun'])
  })

  it('states that a stalled endpoint is still silent until its next bytes', () => {
    // Guards against requests that are sent to a stalled endpoint again one second after its stall was noticed.
    const world = new DetectorWorld()
    const stream = world.stream('begun', 'g1', 2)
    world.pass(2_000)
    const before = world.stillSilent.length
    expect(before).to.be.greaterThan(20)
    stream.noteProgress(null)
    world.pass(STEP_MS)
    expect(world.stillSilent).to.have.length(before)
  })

  it('does not take an endpoint for stalled because its entry is removed while it streams', () => {
    // Guards against requests that are sent to a second endpoint although theirs works: it goes on after its entry is removed.
    const world = new DetectorWorld()
    world.stream('begun', 'g1', 4)
    world.send('waiting', 'g1')
    world.detector.retain(new Set(['g2']))
    world.pass(STEP_MS)
    expect({ stalled: world.stalled, silent: world.silent }).to.deep.equal({ stalled: [], silent: [] })
  })
})
