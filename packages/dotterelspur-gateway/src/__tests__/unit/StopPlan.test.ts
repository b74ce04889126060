import { expect } from 'chai'
import { StopPlan, type RequestDuration } from '../../process/StopPlan.js'

const INTERVAL_MS = 120
const STREAM_MS = 1_000
const DIRECTORY_TTL_MS = 2_000
const STARTED_AT_MS = 50_000
const LEARNED: RequestDuration = { longestMs: STREAM_MS, limitMs: 8_000 }
const UNKNOWN: RequestDuration = { longestMs: null, limitMs: 20_000 }

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
      const { taken, plan } = replay(graceMs, LEARNED)
      const cut = taken.filter((sinceMs) => STARTED_AT_MS + sinceMs + STREAM_MS > plan.endsAtMs)
      expect(cut).to.deep.equal([])
      expect(plan.endsAtMs).to.be.at.most(STARTED_AT_MS + graceMs)
    })
  }

  // Guards against callers without any node: those that hold this node's address until their directory response expires.
  for (const duration of [LEARNED, UNKNOWN]) {
    it(`serves callers that hold the node's address where the grace period allows it, ${duration === LEARNED ? 'with' : 'without'} known durations`, () => {
      const { taken, refused } = replay(8_000, duration)
      expect(refused).to.deep.equal([])
      expect(taken.at(-1)).to.be.greaterThan(DIRECTORY_TTL_MS)
    })
  }

  it('takes requests early and refuses them late in a short grace period', () => {
    for (const duration of [LEARNED, UNKNOWN]) {
      const { taken, refused } = replay(4_000, duration)
      expect(taken.length).to.be.greaterThan(0)
      expect(refused.length).to.be.greaterThan(0)
      expect(Math.max(...taken)).to.be.lessThan(Math.min(...refused))
    }
  })

  it('takes requests whose time limit ends before the node does, whatever others took', () => {
    const { refused } = replay(8_000, { longestMs: 60_000, limitMs: 4_000 })
    expect(refused).to.deep.equal([])
  })

  it('refuses requests of a route whose requests last longer than the stop', () => {
    expect(replay(8_000, { longestMs: 10_000, limitMs: 60_000 }).taken).to.deep.equal([])
  })
})
