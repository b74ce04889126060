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

/** A watch, what it told, and the requests that it gave up. */
class DetectorWorld {
  readonly clock = new ManualClock()
  readonly stalled: string[] = []
  readonly abandoned: string[] = []
  readonly gapsMs: number[] = []
  budgetLeft = true
  readonly detector = new StallDetector(this.clock, {
    onProgress: (_target, _head, gapMs) => { if (gapMs !== null) this.gapsMs.push(gapMs) },
    pauseLimitMs: () => LIMIT_MS,
    onStalled: ({ endpoint }) => { this.stalled.push(endpoint) },
    mayRetry: () => this.budgetLeft
  })

  constructor () {
    this.detector.start()
  }

  send (name: string, endpoint: string, mayMove = true): ExchangeHandle {
    return this.detector.begin(createTarget(endpoint), ROUTE, mayMove, () => { this.abandoned.push(name) })
  }

  /** A stream that has begun and goes on for `passes`. */
  stream (name: string, endpoint: string, passes: number): ExchangeHandle {
    const handle = this.send(name, endpoint)
    for (let pass = 0; pass < passes; pass++) {
      handle.noteProgress(null)
      this.pass(STEP_MS)
    }
    return handle
  }

  /** Time goes on in steps, as timers see it in a process that runs. */
  pass (durationMs: number): void {
    for (let left = durationMs; left > 0; left -= 10) this.clock.advance(10)
  }
}

describe('ExchangeWatch', () => {
  it('sends what waits at a stopped group elsewhere while it can still be on time', () => {
    // Symptom: requests that meet a group without one of its members are answered after 1.2 to 1.8 s, though others are
    // idle. Sequence: a member dies; the head takes requests and sends nothing; each waits for its own first event for
    // three times its target. Cause: that the group's other streams had stopped as well was not looked at.
    const world = new DetectorWorld()
    world.stream('begun', 'g1', 4)
    world.send('waiting', 'g1')
    world.send('elsewhere', 'g2')
    world.pass(LIMIT_MS + STEP_MS)
    expect(world.stalled).to.deep.equal(['g1'])
    expect(world.abandoned).to.deep.equal(['waiting'])
  })

  it('tells of a stop once, and again after the group has worked', () => {
    const world = new DetectorWorld()
    const stream = world.stream('begun', 'g1', 2)
    world.pass(2 * LIMIT_MS)
    expect(world.stalled).to.deep.equal(['g1'])
    stream.noteProgress(null)
    world.pass(2 * LIMIT_MS)
    expect(world.stalled).to.deep.equal(['g1', 'g1'])
  })

  it('doubts nothing while another stream of the group goes on', () => {
    const world = new DetectorWorld()
    world.stream('slow', 'g1', 1)
    world.stream('other', 'g1', 8)
    expect(world.stalled).to.deep.equal([])
  })

  it('takes its own pause for nobody else\'s', () => {
    // Symptom: a node that was short of processor time sends every request a second time. Sequence: its process stands
    // still for a quarter of a second; when it goes on, its timers run before what came meanwhile is read. Cause: the
    // time in which it could read nothing counted as the endpoints' silence.
    const world = new DetectorWorld()
    const stream = world.stream('begun', 'g1', 4)
    world.clock.pause(2 * LIMIT_MS)
    world.clock.advance(10)
    stream.noteProgress(null)
    expect(world.stalled).to.deep.equal([])
  })

  it('takes a caller that doesn\'t read for no sign of a stop', () => {
    const world = new DetectorWorld()
    const stream = world.stream('begun', 'g1', 2)
    stream.noteHeld(true)
    world.pass(10 * LIMIT_MS)
    stream.noteHeld(false)
    stream.noteProgress(null)
    expect(world.stalled).to.deep.equal([])
    expect(world.abandoned).to.deep.equal([])
    expect(world.gapsMs.every((gapMs) => gapMs <= STEP_MS)).to.equal(true)
  })

  it('takes another node\'s word on a group of which it has no newer sign', () => {
    const world = new DetectorWorld()
    world.stream('begun', 'g1', 2)
    world.send('waiting', 'g2')
    world.pass(LIMIT_MS)
    expect(world.detector.noteStalled('g2', StallCertainty.Suspected)).to.equal(true)
    expect(world.abandoned).to.deep.equal(['waiting'])
    world.stream('works', 'g3', 3)
    world.send('waiting there', 'g3').noteProgress(null)
    expect(world.detector.noteStalled('g3', StallCertainty.Confirmed)).to.equal(false)
  })

  it('leaves a request where it is that could not be sent elsewhere', () => {
    // Symptom: three times as many requests end without an answer while two fifths of the groups are twelve times slower
    // than before. Sequence: a slow group looks stopped, its requests go to another one, that looks stopped as well,
    // and the attempts or the budget of repeats are spent. Cause: what could only be lost was given up early.
    const world = new DetectorWorld()
    world.stream('begun', 'g1', 2)
    world.send('last attempt', 'g1', false)
    world.pass(2 * LIMIT_MS)
    expect(world.stalled).to.deep.equal(['g1'])
    expect(world.abandoned).to.deep.equal([])
    world.budgetLeft = false
    world.stream('begun', 'g2', 2)
    world.send('no budget', 'g2')
    world.pass(LIMIT_MS + STEP_MS)
    expect(world.abandoned).not.to.include('no budget')
  })

  it('gives streams up that have begun only when the loss of a member is known', () => {
    const world = new DetectorWorld()
    world.stream('begun', 'g1', 3)
    world.pass(LIMIT_MS - STEP_MS)
    expect(world.detector.noteStalled('g1', StallCertainty.Suspected)).to.equal(true)
    expect(world.abandoned).to.deep.equal([])
    world.detector.noteStalled('g1', StallCertainty.Confirmed)
    expect(world.abandoned).to.deep.equal(['begun'])
  })
})
