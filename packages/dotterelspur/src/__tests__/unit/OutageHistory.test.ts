import { expect } from 'chai'
import { OutageHistory } from '../../process/OutageHistory.js'

const MIN_OUTAGE_MS = 2_400

interface Answer {
  readonly sinceMs: number
  readonly nowMs: number
}

function endOf (answers: readonly Answer[]): number | null {
  const history = new OutageHistory(MIN_OUTAGE_MS)
  for (const { sinceMs, nowMs } of answers) history.noteAnswer(sinceMs, nowMs)
  return history.endedAtMs
}

/** Answers of short calls at these times. */
function at (...timesMs: number[]): Answer[] {
  return timesMs.map((timeMs) => ({ sinceMs: timeMs, nowMs: timeMs }))
}

describe('OutageHistory', () => {
  const CASES: ReadonlyArray<{ readonly name: string, readonly answers: readonly Answer[], readonly endMs: number | null }> = [
    { name: 'no answer yet', answers: [], endMs: null },
    { name: 'a first answer long after the start', answers: at(10_000), endMs: null },
    { name: 'gaps that are too short', answers: at(0, 2_399, 4_700), endMs: null },
    { name: 'a gap that is long enough', answers: at(0, 1_000, 3_400, 4_000), endMs: 3_400 },
    { name: 'several gaps', answers: at(0, 3_000, 4_000, 9_000), endMs: 9_000 },
    { name: 'an answer that may have been given at any time of a long call', answers: [...at(0), { sinceMs: 1_000, nowMs: 3_000 }], endMs: 3_000 },
    { name: 'an answer to a call from before the last answer', answers: [...at(0, 500), { sinceMs: 400, nowMs: 5_000 }], endMs: null },
    { name: 'the gap after a late answer to an old call', answers: [...at(0, 500), { sinceMs: 400, nowMs: 2_800 }, ...at(3_000)], endMs: 3_000 }
  ]
  for (const { name, answers, endMs } of CASES) {
    // Guards against entries that are dropped after an outage, or kept without one.
    it(`finds the end of the last outage: ${name}`, () => { expect(endOf(answers)).to.equal(endMs) })
  }
})
