/** Requests to the platform and their possible results, independent of the transport. */

/** The kinds of calls, as the platform counts them. */
export enum CallKind {
  Read = 'read',
  Write = 'write',
  /** A watch counts as one call for as long as it is open. */
  Watch = 'watch'
}

export enum HttpMethod {
  Get = 'GET',
  Put = 'PUT',
  Post = 'POST',
  Delete = 'DELETE'
}

/** The condition under which a write takes effect. */
export type WriteCondition =
  | { readonly kind: 'absent' }
  | { readonly kind: 'version', readonly version: number }

export interface PlatformRequest {
  readonly callKind: CallKind
  readonly method: HttpMethod
  /** Path and query below the platform's base URL. */
  readonly path: string
  readonly condition?: WriteCondition
  /** For resources with a single version, such as the list of VMs: the response is NotModified while this is the current version. */
  readonly knownVersion?: number
  readonly body?: unknown
}

export enum ReplyKind {
  /** The platform sent a response. */
  Response = 'answer',
  /** No connection was made, so the call can't have had any effect. */
  NotSent = 'not-sent',
  /** The request was sent but no response arrived: a write may have taken effect, or may still do so. */
  NoResponse = 'no-answer',
  /** The request was not sent, because of this node's own rate limit. */
  Withheld = 'withheld',
  /** The response violates the contract or is too large. */
  Malformed = 'malformed'
}

export type PlatformReply =
  | { readonly kind: ReplyKind.Response, readonly status: number, readonly body: unknown }
  | { readonly kind: ReplyKind.NotSent, readonly reason: string }
  | { readonly kind: ReplyKind.NoResponse, readonly reason: string }
  | { readonly kind: ReplyKind.Withheld, readonly retryAfterMs: number }
  | { readonly kind: ReplyKind.Malformed, readonly reason: string }

/** HTTP statuses to which the contract assigns a meaning. */
export enum ResponseStatus {
  Ok = 200,
  Created = 201,
  NotModified = 304,
  NotFound = 404,
  PreconditionFailed = 412,
  TooManyCalls = 429
}

const SERVER_ERROR = 500

/** Whether the platform failed while handling the call, in which case a write may have taken effect. */
export function isServerError (status: number): boolean {
  return status >= SERVER_ERROR
}
