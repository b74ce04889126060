import { expect } from 'chai'
import { StopBasis, StopPlan, type RequestDuration } from '../../process/StopPlan.js'

const INTERVAL_MS = 120
const STREAM_MS = 1_000
const DIRECTORY_TTL_MS = 2_000
const STARTED_AT_MS = 50_000
const LONG_LIMIT_MS = 8_000
const SHORT_LIMIT_MS = 1_500
/** Its time limit ends within most stops. */
const LIMITED: RequestDuration = { longestMs: null, limitMs: SHORT_LIMIT_MS, isRepeatable: false }
const REPEATABLE: RequestDuration = { longestMs: STREAM_MS, limitMs: LONG_LIMIT_MS, isRepeatable: true }
const UNREPEATABLE: RequestDuration = { longestMs: STREAM_MS, limitMs: LONG_LIMIT_MS, isRepeatable: false }

interface Replay {
  /** Time of each request since the begin of the stop. */
  readonly taken: readonly number[]
  readonly refused: readonly number[]
  readonly plan: StopPlan
}

/** Requests at a constant rate until the node no longer listens. */
function replay (graceMs: number, duration: RequestDuration): Replay {
  const plan = new StopPlan({ startedAtMs: STARTED_AT_MS, killedAtMs: STARTED_AT_MS + graceMs, directoryTtlMs: DIRECTORY_TTL_MS })
  const taken: number[] = []
  const refused: number[] = []
  for (let sinceMs = 0; STARTED_AT_MS + sinceMs < plan.listensUntilMs; sinceMs += INTERVAL_MS) {
    const list = plan.admit(STARTED_AT_MS + sinceMs, duration) === null ? refused : taken
    list.push(sinceMs)
  }
  return { taken, refused, plan }
}

describe('StopPlan', () => {
  // Guards against requests that are cut because a stopping node took them although they can't end within its grace period.
  for (const graceMs of [0, 500, 1_000, 1_500, 2_000, 3_000, 4_000, 5_000, 8_000, 30_000]) {
    it(`takes only what ends within a grace period of ${graceMs} ms`, () => {
      for (const [duration, tookMs] of [[REPEATABLE, STREAM_MS], [LIMITED, SHORT_LIMIT_MS], [UNREPEATABLE, LONG_LIMIT_MS]] as const) {
        const { taken, plan } = replay(graceMs, duration)
        const cut = taken.filter((sinceMs) => STARTED_AT_MS + sinceMs + tookMs > plan.endsAtMs)
        expect(cut).to.deep.equal([])
        expect(plan.endsAtMs).to.be.at.most(STARTED_AT_MS + graceMs)
      }
    })
  }

  // Guards against requests of which nobody knows whether they ran, because they took longer than others before them.
  it('takes no request that may not be repeated unless its time limit ends before the stop', () => {
    expect(replay(8_000, UNREPEATABLE).taken).to.deep.equal([])
    expect(replay(30_000, UNREPEATABLE).refused).to.deep.equal([])
  })

  // Guards against callers without any node: those that hold this node's address until their directory response expires.
  for (const [name, duration] of Object.entries({ 'whose requests may be repeated': REPEATABLE, 'whose time limits are short': LIMITED })) {
    it(`serves callers ${name} for as long as they hold the node's address where the grace period allows it`, () => {
      const { taken, refused } = replay(8_000, duration)
      expect(refused).to.deep.equal([])
      expect(taken.at(-1)).to.be.greaterThan(DIRECTORY_TTL_MS)
    })
  }

  it('takes requests early and refuses them late in a short grace period', () => {
    for (const duration of [REPEATABLE, LIMITED]) {
      const { taken, refused } = replay(4_000, duration)
      expect(taken.length).to.be.greaterThan(0)
      expect(refused.length).to.be.greaterThan(0)
      expect(Math.max(...taken)).to.be.lessThan(Math.min(...refused))
    }
  })

  it('takes requests whose time limit ends before the node does, whatever others took', () => {
    const { refused } = replay(8_000, { longestMs: 60_000, limitMs: 4_000, isRepeatable: false })
    expect(refused).to.deep.equal([])
  })

  it('refuses requests of a route whose requests last longer than the stop', () => {
    expect(replay(8_000, { longestMs: 10_000, limitMs: 60_000, isRepeatable: true }).taken).to.deep.equal([])
  })

  // Guards against requests on connections that callers keep until long after the begin of a stop.
  it('takes no request on an estimate once no caller should hold the node\'s address', () => {
    const plan = new StopPlan({ startedAtMs: 0, killedAtMs: 30_000, directoryTtlMs: DIRECTORY_TTL_MS })
    const unbounded = { ...REPEATABLE, limitMs: 60_000 }
    expect([plan.admit(plan.listensUntilMs - 1, unbounded), plan.admit(plan.listensUntilMs, unbounded)]).to.deep.equal([StopBasis.Durations, null])
  })

  // Guards against requests that are cut long before the process has to end.
  it('leaves running requests all but a small part of the grace period', () => {
    const parts = [1_000, 2_000, 4_000, 8_000, 30_000].map((graceMs) => new StopPlan({ startedAtMs: 0, killedAtMs: graceMs, directoryTtlMs: 0 }).endsAtMs / graceMs)
    expect(Math.min(...parts)).to.be.at.least(5 / 6)
  })
})
