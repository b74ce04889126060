import { expect } from 'chai'
import pino from 'pino'
import { EndpointCondition, LinkState, ManualClock, sleep } from 'dotterelspur'
import { DecisionLog } from '../../process/DecisionLog.js'
import { createLog } from '../fixtures/builders.js'
import type { EndpointLocation, ReportResult } from '../../process/GatewayPorts.js'
import { ReportResultKind } from '../../process/GatewayPorts.js'
import { Reachability } from '../../process/Reachability.js'

const LOCATION: EndpointLocation = { endpoint: 'w1', address: '10.0.0.1:1' }
const ANSWERED: ReportResult = { kind: ReportResultKind.Answered, report: { membership: null, model: null, staged: [], running: 0, waiting: 0, orderCount: null } }
const GONE: ReportResult = { kind: ReportResultKind.Gone }

/** An endpoint that answers its n-th probe after a delay, or never. */
class ProbedWorld {
  readonly clock = new ManualClock()
  readonly probedAtMs: number[] = []
  readonly logged: Array<Record<string, unknown>> = []
  decidedAtMs: number | null = null
  readonly reachability: Reachability

  /** @param linkCheck who connects to the endpoint, known after a delay. */
  constructor (answers: ReadonlyArray<{ readonly afterMs: number, readonly end: ReportResult }>, linkCheck = { afterMs: 0, link: LinkState.Unconnected }) {
    const report = async (_place: EndpointLocation, timeoutMs: number): Promise<ReportResult> => {
      const answer = answers[this.probedAtMs.length] ?? { afterMs: Infinity, end: GONE }
      this.probedAtMs.push(this.clock.nowMs())
      return await new Promise((resolve) => {
        if (answer.afterMs < timeoutMs) this.clock.registerTimer(answer.afterMs, () => { resolve(answer.end) })
        else this.clock.registerTimer(timeoutMs, () => { resolve({ kind: ReportResultKind.Silent }) })
      })
    }
    const log = new DecisionLog(this.clock, 'test', pino({}, { write: (line: string) => { this.logged.push(JSON.parse(line)) } }))
    const checkLink = async (): Promise<LinkState> => await new Promise((resolve) => { this.clock.registerTimer(linkCheck.afterMs, () => { resolve(linkCheck.link) }) })
    this.reachability = new Reachability({ report }, this.clock, log, () => { this.decidedAtMs ??= this.clock.nowMs() }, checkLink)
  }

  /** Starts a probe and advances one second, in steps that let promises run. */
  async suspect (): Promise<this> {
    this.reachability.suspect(LOCATION)
    for (let step = 0; step < 100; step++) {
      this.clock.advance(10)
      await new Promise((resolve) => { setImmediate(resolve) })
    }
    return this
  }
}

/** How an endpoint behaves, and who connects to it, until it goes on as usual or ends. */
interface Pause {
  readonly name: string
  readonly answer: ReportResult['kind']
  readonly link: LinkState
  readonly untilMs: number
  /** Whether its process ends then. */
  readonly ends?: boolean
  /** The conditions that are found, each with the earliest and latest time. */
  readonly found: ReadonlyArray<readonly [EndpointCondition, number, number]>
}

const PAUSES: readonly Pause[] = [
  { name: 'answers', answer: ReportResultKind.Answered, link: LinkState.Connects, untilMs: Infinity, found: [[EndpointCondition.Reachable, 0, 20]] },
  { name: 'refuses connections', answer: ReportResultKind.Gone, link: LinkState.Unconnected, untilMs: Infinity, found: [[EndpointCondition.Unreachable, 0, 20]] },
  { name: 'is not connected by anybody', answer: ReportResultKind.Silent, link: LinkState.Unconnected, untilMs: Infinity, found: [[EndpointCondition.Unreachable, 340, 360]] },
  { name: 'is connected by other nodes only', answer: ReportResultKind.Silent, link: LinkState.LinkAtFault, untilMs: Infinity, found: [[EndpointCondition.Reachable, 340, 360]] },
  {
    name: 'answers nothing for 1.3 s and goes on',
    answer: ReportResultKind.Silent,
    link: LinkState.Connects,
    untilMs: 1_300,
    found: [[EndpointCondition.Unresponsive, 340, 360], [EndpointCondition.Reachable, 1_300, 1_700]]
  },
  {
    name: 'answers nothing for 1.3 s and ends',
    answer: ReportResultKind.Silent,
    link: LinkState.Connects,
    untilMs: 1_300,
    ends: true,
    found: [[EndpointCondition.Unresponsive, 340, 360], [EndpointCondition.Unreachable, 1_300, 1_700]]
  },
  {
    name: 'answers nothing for good',
    answer: ReportResultKind.Silent,
    link: LinkState.Connects,
    untilMs: Infinity,
    found: [[EndpointCondition.Unresponsive, 340, 360], [EndpointCondition.Unreachable, 3_600, 4_000]]
  }
]

/** Probes an endpoint for 6 s, and returns the conditions that are found, with their times. */
async function findConditions ({ answer, link, untilMs, ends = false }: Pause): Promise<Array<[EndpointCondition, number]>> {
  const clock = new ManualClock()
  const isOver = (): boolean => clock.nowMs() >= untilMs
  const usual = ends ? { answer: ReportResultKind.Gone, link: LinkState.Unconnected } : { answer: ReportResultKind.Answered, link: LinkState.Connects }
  const report = async (_location: EndpointLocation, timeoutMs: number): Promise<ReportResult> => {
    const kind = isOver() ? usual.answer : answer
    await sleep(clock, kind === ReportResultKind.Silent ? timeoutMs : 1)
    return kind === ReportResultKind.Answered ? ANSWERED : { kind }
  }
  const found: Array<[EndpointCondition, number]> = []
  const reachability = new Reachability({ report }, clock, createLog(clock), () => {
    const condition = [EndpointCondition.Reachable, EndpointCondition.Unresponsive, EndpointCondition.Unreachable].find((candidate) => CHECKS[candidate](reachability))!
    found.push([condition, clock.nowMs()])
  }, async () => isOver() ? usual.link : link)
  reachability.suspect(LOCATION)
  for (let passedMs = 0; passedMs < 6_000; passedMs += 10) {
    clock.advance(10)
    await new Promise((resolve) => { setImmediate(resolve) })
  }
  reachability.stop()
  return found
}

const CHECKS: Readonly<Record<EndpointCondition, (reachability: Reachability) => boolean>> = {
  [EndpointCondition.Reachable]: (reachability) => reachability.isReachable(LOCATION.endpoint),
  [EndpointCondition.Unresponsive]: (reachability) => reachability.isUnresponsive(LOCATION.endpoint),
  [EndpointCondition.Unreachable]: (reachability) => reachability.isUnreachable(LOCATION.endpoint)
}

describe('Reachability', () => {
  // Guards against groups that are broken up because a member has paused, and against repairs that wait where a member is lost.
  for (const pause of PAUSES) {
    it(`finds the condition of an endpoint that ${pause.name}`, async () => {
      const found = await findConditions(pause)
      expect(found.map(([condition]) => condition)).to.deep.equal(pause.found.map(([condition]) => condition))
      pause.found.forEach(([, earliestMs, latestMs], index) => { expect(found[index]![1]).to.be.within(earliestMs, latestMs) })
    })
  }

  it('detects a dead endpoint after one timeout, not two', async () => {
    // Guards against two consecutive probe timeouts, which let a group that lost a member accept requests for half a
    // second after it was suspected, and delayed its repair by as much.
    const world = await new ProbedWorld([]).suspect()
    expect(world.reachability.isUnreachable('w1')).to.equal(true)
    expect(world.probedAtMs).to.have.length(2)
    expect(world.decidedAtMs).to.be.within(300, 400)
  })

  it('regards an endpoint as reachable that answers the second probe, or the first one late', async () => {
    const second = await new ProbedWorld([{ afterMs: Infinity, end: GONE }, { afterMs: 5, end: ANSWERED }]).suspect()
    expect(second.reachability.isReachable('w1')).to.equal(true)
    const late = await new ProbedWorld([{ afterMs: 300, end: ANSWERED }, { afterMs: Infinity, end: GONE }]).suspect()
    expect(late.reachability.isReachable('w1')).to.equal(true)
  })

  it('probes a responsive endpoint once, and a superseded one as well', async () => {
    const living = await new ProbedWorld([{ afterMs: 5, end: ANSWERED }]).suspect()
    expect(living.probedAtMs).to.have.length(1)
    const gone = await new ProbedWorld([{ afterMs: 5, end: GONE }]).suspect()
    expect(gone.probedAtMs).to.have.length(1)
    expect(gone.reachability.isUnreachable('w1')).to.equal(true)
  })

  // Guards against healthy groups that are taken apart: the lease holder has lost its link to a member that other nodes reach.
  it('does not regard an endpoint as unreachable that other nodes connect to', async () => {
    const silent = await new ProbedWorld([], { afterMs: 200, link: LinkState.LinkAtFault }).suspect()
    expect(silent.reachability.isUnreachable('w1')).to.equal(false)
    const refused = await new ProbedWorld([{ afterMs: 5, end: GONE }], { afterMs: 20, link: LinkState.LinkAtFault }).suspect()
    expect(refused.reachability.isUnreachable('w1')).to.equal(false)
  })

  it('logs whether an endpoint without an answer accepts connections', async () => {
    const silent = await new ProbedWorld([], { afterMs: 200, link: LinkState.Connects }).suspect()
    expect(silent.logged[0]).to.include({ event: 'endpoint-unresponsive', endpoint: 'w1', address: '10.0.0.1:1', answer: 'silent', link: 'connects', silentMs: 350 })
    const refused = await new ProbedWorld([{ afterMs: 5, end: GONE }], { afterMs: 20, link: LinkState.Unconnected }).suspect()
    expect(refused.logged[0]).to.include({ event: 'endpoint-unreachable', answer: 'gone', link: 'unconnected' })
  })

  it('needs no more time for its verdict where other nodes are asked', async () => {
    const world = await new ProbedWorld([], { afterMs: 250, link: LinkState.Unconnected }).suspect()
    expect(world.reachability.isUnreachable('w1')).to.equal(true)
    expect(world.decidedAtMs).to.be.within(300, 400)
  })
})
