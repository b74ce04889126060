import { expect } from 'chai'
import { OutcomeKind, OutcomeReason, RequestSafety, createRandom } from 'dotterelspur'
import { CallFailureKind, DEFAULT_RETRY_OPTIONS, NextStepKind, decideRetry, type CallFailure } from '../../index.js'

const { Idempotent, NonIdempotent } = RequestSafety
const { Again, Ask, GiveUp } = NextStepKind

function refused (status: number, outcome: OutcomeKind, retryAfterMs: number | null = 100): CallFailure {
  return { kind: CallFailureKind.Refused, status, outcome, reason: OutcomeReason.Overloaded, message: '', retryAfterMs, entries: [] }
}

const notSent: CallFailure = { kind: CallFailureKind.NotSent, message: 'refused' }
const broken: CallFailure = { kind: CallFailureKind.Broken, message: 'reset' }

const rows: ReadonlyArray<readonly [string, CallFailure, RequestSafety, NextStepKind]> = [
  ['nothing was sent', notSent, Idempotent, Again],
  ['nothing was sent', notSent, NonIdempotent, Again],
  ['the connection broke', broken, Idempotent, Again],
  ['the connection broke', broken, NonIdempotent, Ask],
  ['not run', refused(503, OutcomeKind.NotRun), Idempotent, Again],
  ['not run', refused(503, OutcomeKind.NotRun), NonIdempotent, Again],
  ['not run, and never will be', refused(400, OutcomeKind.NotRun, null), NonIdempotent, GiveUp],
  ['not run, and never will be', refused(404, OutcomeKind.NotRun, null), Idempotent, GiveUp],
  ['over its limit', refused(429, OutcomeKind.NotRun), NonIdempotent, Again],
  ['unknown, and may be told later', refused(503, OutcomeKind.Unknown), NonIdempotent, Ask],
  ['unknown for good', refused(409, OutcomeKind.Unknown, null), NonIdempotent, GiveUp],
  ['unknown for good', refused(409, OutcomeKind.Unknown, null), Idempotent, Again],
  ['failed by the endpoint', refused(502, OutcomeKind.Failed, null), NonIdempotent, GiveUp],
  ['failed by the endpoint', refused(502, OutcomeKind.Failed, null), Idempotent, Again]
]

describe('decideRetry', () => {
  for (const [what, failure, safety, kind] of rows) {
    it(`${safety}: ${what} -> ${kind}`, () => {
      const state = { safety, attempts: 1, options: DEFAULT_RETRY_OPTIONS }
      expect(decideRetry(failure, state, createRandom(1)).kind).to.equal(kind)
      expect(decideRetry(failure, { ...state, attempts: DEFAULT_RETRY_OPTIONS.maxAttempts }, createRandom(1)).kind).to.equal(GiveUp)
    })
  }

  it('keeps the number of a submission that was never sent, and never comes back sooner than told', () => {
    const state = { safety: NonIdempotent, attempts: 1, options: DEFAULT_RETRY_OPTIONS }
    expect(decideRetry(notSent, state, createRandom(1))).to.deep.include({ nextSubmission: false })
    expect(decideRetry(refused(503, OutcomeKind.NotRun, 900), state, createRandom(1))).to.have.property('delayMs').that.is.at.least(900)
  })
})
