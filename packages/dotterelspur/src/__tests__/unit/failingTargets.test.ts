import { expect } from 'chai'
import { AttemptResult, createRandom, createRoutingOptions, Router, TargetKind, PriorityClass, type RouteAttempt, type ServiceTarget } from '../../index.js'

const FAULTY = 'w0'
const WORKERS = [FAULTY, 'w1', 'w2']
const SEEDS = [1, 2, 3]
const CALL_MS = 60
const FAILURE_MS = 2
const REPORT_MS = 500

interface Replay {
  readonly seed: number
  readonly callsPerSecond: number
  readonly durationMs: number
  /** Until then the faulty worker reports each call as failed, at once. */
  readonly faultUntilMs: number
  /** Share of the calls that any worker reports as failed. */
  readonly badShare: number
}

function createTargets (nowMs: number): ServiceTarget[] {
  return WORKERS.map((vm) => ({
    kind: TargetKind.Service,
    id: vm,
    vm,
    incarnation: 1,
    service: 'desk',
    address: `http://${vm}`,
    region: 'perth',
    failureDomain: 'perth-1',
    evidenceExpiresAtMs: nowMs + 2_500,
    leaving: false,
    load: { running: 0, waiting: 0, capacity: 8, cacheUsed: 0, ageMs: 0 },
    loadRequestedAtMs: nowMs
  }))
}

/** Replays calls of a service without I/O; returns the share of those sent from `fromMs` on that went to the faulty worker. */
function shareOfFaulty ({ seed, callsPerSecond, durationMs, faultUntilMs, badShare }: Replay, fromMs: number): number {
  const router = new Router(createRoutingOptions({ region: 'perth', failureDomain: 'perth-1' }))
  const random = createRandom(seed)
  const calls = createRandom(seed + 1)
  let open: Array<{ readonly route: RouteAttempt, readonly endsAtMs: number, readonly result: AttemptResult }> = []
  const counts = { all: 0, faulty: 0 }
  for (let call = 0; call * 1_000 / callsPerSecond < durationMs; call++) {
    const nowMs = call * 1_000 / callsPerSecond
    if (Math.floor(nowMs / REPORT_MS) !== Math.floor((nowMs - 1_000 / callsPerSecond) / REPORT_MS)) router.replaceTargets(createTargets(nowMs), nowMs)
    for (const { route, endsAtMs, result } of open.filter((one) => one.endsAtMs <= nowMs)) router.end(route, result, endsAtMs)
    open = open.filter((one) => one.endsAtMs > nowMs)
    const decision = router.decide({ kind: TargetKind.Service, service: 'desk', excluded: new Set(), priority: PriorityClass.Interactive, idempotent: false }, nowMs, random)
    if (!decision.ok) throw new Error(decision.error.message)
    const { target } = decision.value
    const isFailed = (target.id === FAULTY && nowMs < faultUntilMs) || calls.next() < badShare
    open.push({ route: router.begin(target, nowMs), endsAtMs: nowMs + (isFailed ? FAILURE_MS : CALL_MS), result: isFailed ? AttemptResult.Failed : AttemptResult.Completed })
    if (nowMs < fromMs) continue
    counts.all += 1
    if (target.id === FAULTY) counts.faulty += 1
  }
  return counts.faulty / counts.all
}

describe('A target that reports all requests as failed', () => {
  for (const callsPerSecond of [60, 200]) {
    // Guards against a target that is free at once because it fails, and draws the requests.
    it(`receives few of them: ${callsPerSecond} calls a second`, () => {
      for (const seed of SEEDS) expect(shareOfFaulty({ seed, callsPerSecond, durationMs: 10_000, faultUntilMs: Infinity, badShare: 0 }, 0)).to.be.lessThan(0.2)
    })

    it(`receives its part once it works again: ${callsPerSecond} calls a second`, () => {
      for (const seed of SEEDS) expect(shareOfFaulty({ seed, callsPerSecond, durationMs: 30_000, faultUntilMs: 5_000, badShare: 0 }, 15_000)).to.be.within(0.25, 0.42)
    })

    it(`receives its part where only requests are bad: ${callsPerSecond} calls a second`, () => {
      for (const seed of SEEDS) expect(shareOfFaulty({ seed, callsPerSecond, durationMs: 10_000, faultUntilMs: 0, badShare: 0.1 }, 0)).to.be.within(0.25, 0.42)
    })
  }
})
