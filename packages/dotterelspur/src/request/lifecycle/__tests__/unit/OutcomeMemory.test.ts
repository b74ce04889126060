import { expect } from 'chai'
import { OpenKind, OutcomeKind, OutcomeMemory, OutcomeReason, PauseDetector, type Outcome, type Submission } from '../../../../index.js'

const RETENTION_MS = 100
const MAX_CLOCK_SKEW_MS = 1_000

function createMemory (maxEntries = 2): OutcomeMemory<string> {
  return new OutcomeMemory<string>({ maxEntries, retentionMs: RETENTION_MS, maxClockSkewMs: MAX_CLOCK_SKEW_MS })
}

function submission (requestId: string, changes: Partial<Submission> = {}): Submission {
  return { requestId, issuedWallMs: 0, team: 'tradeline', fingerprint: 'loan', submissionNumber: null, stale: false, ticket: 0, ...changes }
}

const ANSWERED: Outcome = { kind: OutcomeKind.Answered, reason: OutcomeReason.Completed, message: '', retryAfterMs: null }

describe('OutcomeMemory', () => {
  it('answers a retry with the state or outcome of the first submission', () => {
    const memory = createMemory()
    expect(memory.open(submission('a'), 0, 0).kind).to.equal(OpenKind.Run)
    expect(memory.open(submission('a'), 1, 1).kind).to.equal(OpenKind.InProgress)
    memory.close('a', { outcome: ANSWERED, answer: 'text' }, 2)
    expect(memory.open(submission('a'), 3, 3)).to.deep.equal({ kind: OpenKind.Ended, ended: { outcome: ANSWERED, answer: 'text' } })
  })

  // Failure: a request runs a second time, long after the first. Its entry is evicted after its outcome, by time or to
  // make room; the caller retries the id, and the missing entry is taken for an id that was never submitted.
  for (const [how, evict] of [
    ['by time', (memory: OutcomeMemory<string>) => { memory.lookup('x', 0, 'tradeline', RETENTION_MS) }],
    ['to make room', (memory: OutcomeMemory<string>) => {
      for (const id of ['b', 'c']) memory.open(submission(id, { issuedWallMs: 20 }), 1, 1)
    }]
  ] as const) {
    it(`never runs an id again after its eviction ${how}`, () => {
      const memory = createMemory()
      memory.open(submission('a', { issuedWallMs: 10 }), 0, 0)
      memory.close('a', { outcome: ANSWERED, answer: null }, 0)
      evict(memory)
      expect(memory.open(submission('a', { issuedWallMs: 10 }), RETENTION_MS, RETENTION_MS).kind).to.equal(OpenKind.Forgotten)
      expect(memory.lookup('a', 10, 'tradeline', RETENTION_MS)?.kind).to.equal(OpenKind.Forgotten)
    })
  }

  it('never evicts running requests, and returns Full when there are only these', () => {
    const memory = createMemory()
    memory.open(submission('a'), 0, 0)
    memory.open(submission('b'), 0, 0)
    expect(memory.open(submission('c', { issuedWallMs: 1 }), RETENTION_MS * 9, 0).kind).to.equal(OpenKind.Full)
    expect(memory.runningCount).to.equal(2)
  })

  it('refuses an id of another team, another body, and an issue time in the future', () => {
    const memory = createMemory()
    memory.open(submission('a'), 0, 0)
    expect(memory.open(submission('a', { team: 'piedmont' }), 1, 1).kind).to.equal(OpenKind.Mismatch)
    expect(memory.open(submission('a', { fingerprint: 'other' }), 1, 1).kind).to.equal(OpenKind.Mismatch)
    expect(memory.open(submission('b', { issuedWallMs: MAX_CLOCK_SKEW_MS + 1 }), 0, 0).kind).to.equal(OpenKind.IssuedInFuture)
    expect(memory.lookup('a', 0, 'piedmont', 1)).to.equal(undefined)
  })
})

describe('PauseDetector', () => {
  it('detects a gap between its ticks, and reports requests accepted around it as stale', () => {
    const watch = new PauseDetector(1_000, 250, 0)
    expect([watch.tick(300), watch.tick(600), watch.isStale(700)]).to.deep.equal([0, 0, false])
    expect(watch.isStale(9_000), 'before the first tick after the pause').to.equal(true)
    expect(watch.tick(9_000)).to.equal(8_400)
    expect([watch.isStale(9_100), watch.isStale(9_250), watch.pauseCount]).to.deep.equal([true, false, 1])
    expect([watch.isStaleDecision(600, 9_000), watch.isStaleDecision(8_900, 9_000)]).to.deep.equal([true, false])
  })
})
