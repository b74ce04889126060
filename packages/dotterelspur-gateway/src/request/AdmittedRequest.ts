import type { IncomingMessage } from 'node:http'
import type { DispatchEnd, RequestContent, Route, ServiceId, WorkspaceId } from 'dotterelspur'
import type { CallerHeaders } from '../process/GatewayPorts.js'
import type { StopDecision } from '../process/StopAdmission.js'
import type { GatewayErrorKind } from './CallerResponse.js'
import type { StreamReport } from './EndpointCall.js'

/** A request that has been authenticated, routed and admitted, before it is sent to an endpoint. */
export interface AdmittedRequest {
  readonly request: IncomingMessage
  readonly content: RequestContent
  readonly head: CallerHeaders
  readonly requestId: string
  readonly route: Route
  readonly service: ServiceId
  readonly workspace: WorkspaceId | null
  readonly priority: number
  readonly arrivedAtMs: number
  /** Time that the caller spent on earlier attempts, inferred from its deadline. */
  readonly spentBeforeMs: number
  readonly stopDecision: StopDecision
}

/** A request that runs when its node ends. */
export interface RequestProgress {
  readonly admitted: AdmittedRequest
  /** Part of its response has been sent to the caller. */
  readonly isResponseStarted: boolean
  /** The caller reads its response more slowly than events arrive. */
  readonly isPaused: boolean
  readonly targets: readonly string[]
  /** The last stream that an endpoint began; null where none did. */
  readonly stream: StreamReport | null
}

/** The outcome of a request, for the log and the metrics. */
export interface RequestReport {
  readonly end: DispatchEnd
  readonly answeredWith: GatewayErrorKind | null
  readonly firstByteMs: number | null
  /** When the caller was told to retry; null where it was not. */
  readonly retryAfterMs: number | null
  /** How long it waited at this node; null where it did not. */
  readonly waitedMs: number | null
  readonly targets: readonly string[]
  /** When the request was sent to each endpoint, since its arrival; a target without a connection has none. */
  readonly sentMs: readonly number[]
  /** When this node learned that the caller had closed its connection, since the arrival; null if it has not. */
  readonly callerLeftMs: number | null
  /** The last stream that an endpoint began; null where none did. */
  readonly stream: StreamReport | null
}
