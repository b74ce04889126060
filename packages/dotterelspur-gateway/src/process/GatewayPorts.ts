import type { IncomingHttpHeaders } from 'node:http'
import type { EndpointId, EndpointOrder, LoadReading, Membership, ModelId, OrderReply, StatedNeed, WorkspaceId } from 'dotterelspur'

/** What the headers of a caller's request say. */
export interface CallerHeaders {
  /** The caller's id for this attempt; null where it sent none. */
  readonly requestId: string | null
  /** How long the caller will wait, from when it sent the request. */
  readonly deadlineMs: number | null
  readonly key: string | null
  readonly model: ModelId | null
  readonly promptTokens: number
  /** The most tokens that the answer may have. */
  readonly maxAnswerTokens: number
  /** The last event that the caller has of an earlier attempt. */
  readonly lastEventId: string | null
}

/** What the system itself says to an endpoint about a request. */
export interface ForwardedHeaders {
  readonly endpoint: EndpointId
  readonly workspace: WorkspaceId | null
  readonly deadlineMs: number | null
  /** 0 goes first. */
  readonly priority: number
  readonly lastEventId: string | null
}

/** What the headers of an endpoint's answer say. */
export interface ResponseHeaders {
  readonly requestId: string | null
  /** The endpoint declares that it did not run the request. */
  readonly notExecuted: boolean
  readonly load: LoadReading | null
  /** The member of its group that keeps the endpoint from serving. */
  readonly lostMember: EndpointId | null
  /** Null where it can't be read, or is another endpoint's: what was known before stands. */
  readonly backpressure: StatedNeed | null
}

/** Translates headers between the wire and the types above. */
export interface WireFormat {
  readCallerHeaders (headers: IncomingHttpHeaders): CallerHeaders
  /** Takes and gives headers as a flat list of names and values; connection headers are gone already. */
  writeForwardedHeaders (headers: readonly string[], head: ForwardedHeaders): string[]
  readResponseHeaders (status: number, headers: IncomingHttpHeaders): ResponseHeaders
}

/** Where an endpoint can be reached, and as which of its lives. */
export interface EndpointLocation {
  readonly endpoint: EndpointId
  readonly address: string
}

/** An endpoint's own word on itself, some hundred milliseconds old. */
export interface EndpointReport {
  readonly membership: Membership | null
  readonly model: ModelId | null
  readonly staged: readonly ModelId[]
  readonly running: number
  readonly waiting: number
  /** Orders that it has carried out in this life; null where it doesn't count them. */
  readonly orderCount: number | null
}

export enum ReportResultKind {
  Answered = 'answered',
  /** Nothing listens there, or another endpoint has the address. */
  Gone = 'gone',
  /** No answer in time. */
  Silent = 'silent'
}

export type ReportResult =
  | { readonly kind: ReportResultKind.Answered, readonly report: EndpointReport }
  | { readonly kind: ReportResultKind.Gone }
  | { readonly kind: ReportResultKind.Silent }

/** Orders and questions to endpoints. Neither call throws. */
export interface EndpointControl {
  /** @param expectedOrders the endpoint refuses the order as unfit unless it has carried out just this many; null sets no condition. */
  order (place: EndpointLocation, order: EndpointOrder, expectedOrders: number | null): Promise<OrderReply>
  report (place: EndpointLocation, timeoutMs: number): Promise<ReportResult>
}
