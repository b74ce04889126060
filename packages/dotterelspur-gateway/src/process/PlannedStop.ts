import { sleep, type Clock } from 'dotterelspur'
import type { CallerListener } from '../connection/CallerListener.js'
import type { RelayServer } from '../connection/RelayServer.js'
import { LogKind, type DecisionLog } from './DecisionLog.js'
import type { StopPlan } from './StopPlan.js'

const POLL_MS = 50

export interface PlannedStopParts {
  readonly clock: Clock
  readonly log: DecisionLog
  readonly callers: CallerListener
  readonly relays: RelayServer
}

/** Completes what runs at this node. Resolves when nothing is left, or when the plan ends. */
export async function completeRequests ({ clock, log, callers, relays }: PlannedStopParts, plan: StopPlan, handedOver: Promise<unknown>): Promise<void> {
  const startedAtMs = clock.nowMs()
  let isListening = true
  while (clock.nowMs() < plan.endsAtMs) {
    // Ends only after a poll without new connections: requests on the last ones may not have been read yet.
    if (!isListening && callers.runningRequests === 0 && callers.connections.lingeringCount === 0 && relays.size === 0) break
    if (isListening && clock.nowMs() >= plan.listensUntilMs) {
      callers.stopListening()
      isListening = false
    }
    await sleep(clock, Math.min(POLL_MS, plan.endsAtMs - clock.nowMs()))
  }
  callers.stopListening()
  callers.endUnanswered()
  // Lets the errors be sent before the connections are closed.
  if (callers.runningRequests > 0) await sleep(clock, POLL_MS)
  await Promise.race([handedOver, sleep(clock, POLL_MS)])
  log.write(LogKind.Stopped, { ...callers.stopCounts, cut: callers.cutRequests, relays: relays.size, tookMs: Math.round(clock.nowMs() - startedAtMs) })
}
