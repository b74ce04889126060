import { expect } from 'chai'
import { ManualClock, RequestKind } from 'dotterelspur'
import { StopAdmission } from '../../process/StopAdmission.js'
import { StopBasis, StopPlan } from '../../process/StopPlan.js'
import { createRoute } from '../fixtures/builders.js'

const GRACE_MS = 8_000
const READ = createRoute('read', { kind: RequestKind.Idempotent, timeoutMs: 20_000 })
const WRITE = createRoute('write', { kind: RequestKind.NonIdempotent, timeoutMs: 20_000 })
const SHORT_LIMIT_MS = 1_500

function stop ({ runningMs = 0, completedMs = Array<number>(50).fill(300) }: { runningMs?: number, completedMs?: readonly number[] } = {}): StopAdmission {
  const clock = new ManualClock()
  const admission = new StopAdmission(clock, () => runningMs)
  for (const tookMs of completedMs) {
    admission.noteEnded(READ, tookMs)
    admission.noteEnded(WRITE, tookMs)
  }
  const startedAtMs = clock.nowMs()
  admission.begin(new StopPlan({ startedAtMs, killedAtMs: startedAtMs + GRACE_MS, directoryTtlMs: 2_000 }))
  return admission
}

describe('StopAdmission', () => {
  it('takes requests by their time limit, and those that may be repeated by what others took', () => {
    const admission = stop()
    expect(admission.admit(WRITE, SHORT_LIMIT_MS)?.basis).to.equal(StopBasis.TimeLimit)
    expect(admission.admit(READ, null)?.basis).to.equal(StopBasis.Durations)
    expect(admission.counts.taken).to.equal(2)
  })

  // Guards against a write that is cut because earlier ones of its route were short.
  it('takes no request that may not be repeated on what others took', () => {
    expect(stop().admit(WRITE, null)).to.equal(null)
  })

  // Guards against an estimate that holds on while requests of the same route already run for longer.
  it('takes no request on an estimate that a running one has exceeded', () => {
    expect(stop({ runningMs: 4_000 }).admit(READ, null)).to.equal(null)
  })

  it('takes no request on an estimate by few requests', () => {
    expect(stop({ completedMs: [300, 300] }).admit(READ, null)).to.equal(null)
  })

  // Guards against retries that begin in a stop and are cut at its end.
  it('admits retries like new requests', () => {
    const admission = stop()
    expect([admission.admitsRetry(WRITE, SHORT_LIMIT_MS), admission.admitsRetry(WRITE, GRACE_MS), admission.admitsRetry(READ, GRACE_MS)]).to.deep.equal([true, false, true])
    expect(admission.counts.taken).to.equal(0)
  })
})
