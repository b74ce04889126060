import { expect } from 'chai'
import { ManualClock } from 'dotterelspur'
import type { CallerListener } from '../../connection/CallerListener.js'
import type { RelayServer } from '../../connection/RelayServer.js'
import { completeRequests } from '../../process/PlannedStop.js'
import { StopPlan } from '../../process/StopPlan.js'
import { createLog } from '../fixtures/builders.js'

const TURNS = 5

/** When running requests are ended, in milliseconds since the begin of the stop, where one never ends by itself. */
async function endedAtMs (graceMs: number): Promise<{ readonly endedMs: number, readonly planMs: number }> {
  const clock = new ManualClock()
  const startedAtMs = clock.nowMs()
  let endedMs = Infinity
  const callers = {
    runningRequests: 1,
    cutRequests: 1,
    stopCounts: { taken: 0, refused: 0 },
    connections: { lingeringCount: 0 },
    stopListening: () => {},
    endUnanswered: () => { endedMs = clock.nowMs() - startedAtMs }
  } as unknown as CallerListener
  const plan = new StopPlan({ startedAtMs, killedAtMs: startedAtMs + graceMs, directoryTtlMs: 2_000 })
  const completed = completeRequests({ clock, log: createLog(clock), callers, relays: { size: 0 } as unknown as RelayServer }, plan, Promise.resolve())
  const run = { isCompleted: false }
  completed.then(() => { run.isCompleted = true }, () => { run.isCompleted = true })
  while (!run.isCompleted) {
    clock.advance(1)
    for (let turn = 0; turn < TURNS; turn++) await Promise.resolve()
  }
  await completed
  return { endedMs, planMs: plan.endsAtMs - startedAtMs }
}

describe('completeRequests', () => {
  // Guards against a process that exits, at the end of a short grace period, before it has sent the errors of its running requests.
  for (const graceMs of [300, 500, 1_000, 4_000]) {
    it(`ends running requests when its plan does, within a grace period of ${graceMs} ms`, async () => {
      const { endedMs, planMs } = await endedAtMs(graceMs)
      expect(endedMs).to.be.within(planMs, planMs + 1)
    })
  }
})
