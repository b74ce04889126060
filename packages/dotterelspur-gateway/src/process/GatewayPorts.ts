import type { IncomingHttpHeaders } from 'node:http'
import { ReportResultKind, type EndpointId, type EndpointOrder, type LoadReading, type Membership, type ModelId, type OrderReply, type ReportedBackpressure, type WorkspaceId } from 'dotterelspur'

/** Headers of a caller's request. */
export interface CallerHeaders {
  /** The caller's id for this attempt; null if it sent none. */
  readonly requestId: string | null
  /** How long the caller will wait, from when it sent the request. */
  readonly deadlineMs: number | null
  readonly key: string | null
  readonly model: ModelId | null
  readonly promptTokens: number
  /** Ids of the parts of the prompt that other requests may share, in order; absent if the caller states none. */
  readonly promptParts?: readonly string[]
  /** Output token limit of the response. */
  readonly maxAnswerTokens: number
  /** Id of the last event that the caller received in an earlier attempt. */
  readonly lastEventId: string | null
}

/** Headers that the system adds to a request for an endpoint. */
export interface ForwardedHeaders {
  readonly endpoint: EndpointId
  readonly workspace: WorkspaceId | null
  readonly deadlineMs: number | null
  /** 0 is the highest priority. */
  readonly priority: number
  readonly lastEventId: string | null
}

/** Headers of an endpoint's response. */
export interface ResponseHeaders {
  readonly requestId: string | null
  /** The endpoint states that it did not run the request. */
  readonly notExecuted: boolean
  readonly load: LoadReading | null
  /** The lost group member that prevents the endpoint from serving. */
  readonly lostMember: EndpointId | null
  /** Null if it cannot be parsed or belongs to another endpoint; the previous value then remains valid. */
  readonly backpressure: ReportedBackpressure | null
  /** How long the endpoint stays cold; null if it cannot be parsed, absent if not stated or stated by another endpoint. */
  readonly coldRemainingMs?: number | null
}

/** Translates headers between the wire format and the types above. */
export interface WireFormat {
  readCallerHeaders (headers: IncomingHttpHeaders): CallerHeaders
  /** Takes and returns headers as a flat list of names and values; connection headers are already removed. */
  writeForwardedHeaders (headers: readonly string[], added: ForwardedHeaders): string[]
  readResponseHeaders (status: number, headers: IncomingHttpHeaders): ResponseHeaders
}

/** The address of one endpoint incarnation. */
export interface EndpointLocation {
  readonly endpoint: EndpointId
  readonly address: string
}

/** An endpoint's report about itself, some hundred milliseconds old. */
export interface EndpointReport {
  readonly membership: Membership | null
  readonly model: ModelId | null
  readonly staged: readonly ModelId[]
  readonly running: number
  readonly waiting: number
  /** Orders carried out in this incarnation; null if the endpoint does not count them. */
  readonly orderCount: number | null
}

export { ReportResultKind }

export type ReportResult =
  | { readonly kind: ReportResultKind.Answered, readonly report: EndpointReport }
  | { readonly kind: ReportResultKind.Gone }
  | { readonly kind: ReportResultKind.Silent }

/** Sends orders and report requests to endpoints. Neither call throws. */
export interface EndpointControl {
  /** @param expectedOrderCount the endpoint rejects the order as unfit unless it has carried out exactly this many; null sets no condition. */
  order (location: EndpointLocation, order: EndpointOrder, expectedOrderCount: number | null): Promise<OrderReply>
  report (location: EndpointLocation, timeoutMs: number): Promise<ReportResult>
}
