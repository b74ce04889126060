import { DispatchEndKind } from 'dotterelspur'
import type { LogFields } from '../process/DecisionLog.js'
import type { AdmittedRequest, RequestReport } from './AdmittedRequest.js'
import { refusalFields } from './refusalFields.js'

/** Log fields of a request that has ended. Times are in milliseconds. `manifestFields` state the manifest that it met. */
export function endedFields (admitted: AdmittedRequest, report: RequestReport, tookMs: number, manifestFields: LogFields): LogFields {
  return {
    request: admitted.requestId,
    route: admitted.route.name,
    workspace: admitted.workspace,
    model: admitted.head.model ?? undefined,
    end: report.end.kind,
    lastExchange: report.end.lastExchange ?? undefined,
    answeredWith: report.answeredWith ?? undefined,
    ...refusalFields(report.end.refusal, admitted.priority),
    retryAfterMs: report.retryAfterMs === null ? undefined : Math.round(report.retryAfterMs),
    targets: report.targets,
    sentMs: report.sentMs.length > 0 ? report.sentMs.map(Math.round) : undefined,
    callerLeftMs: report.callerLeftMs === null ? undefined : Math.round(report.callerLeftMs),
    framing: report.stream?.framing,
    endedInsideEvent: report.stream?.endedInsideEvent === true ? true : undefined,
    waitedMs: report.waitedMs === null ? undefined : Math.round(report.waitedMs),
    firstByteMs: report.firstByteMs === null ? undefined : Math.round(report.firstByteMs),
    tookMs: Math.round(tookMs),
    deadlineMs: admitted.head.deadlineMs,
    ...manifestFields,
    late: report.end.kind === DispatchEndKind.Delivered && report.firstByteMs !== null && report.firstByteMs > admitted.route.targetLatencyMs ? true : undefined
  }
}
