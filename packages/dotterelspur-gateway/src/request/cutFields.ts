import type { LogFields } from '../process/DecisionLog.js'
import type { StopAdmission } from '../process/StopAdmission.js'
import type { RequestProgress } from './AdmittedRequest.js'

/** Log fields of a request that runs when the planned stop of its node ends. Times are in milliseconds. */
export function cutFields ({ admitted, isResponseStarted, isPaused, targets, stream }: RequestProgress, stop: StopAdmission, nowMs: number): LogFields {
  const { requestId, route, head, arrivedAtMs, stopDecision } = admitted
  return {
    request: requestId,
    route: route.name,
    sinceStopMs: rounded(stop.sinceStopMs(arrivedAtMs)),
    runningMs: Math.round(nowMs - arrivedAtMs),
    takenBy: stopDecision.basis,
    longestMs: rounded(stopDecision.longestMs),
    limitMs: Math.min(route.timeoutMs, head.deadlineMs ?? Infinity),
    responseBegun: isResponseStarted,
    paused: isPaused ? true : undefined,
    targets,
    framing: stream?.framing
  }
}

function rounded (valueMs: number | null): number | undefined {
  return valueMs === null ? undefined : Math.round(valueMs)
}
