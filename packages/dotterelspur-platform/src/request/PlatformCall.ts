/** What the platform is asked, and what can come of asking, apart from any transport. */

/** The kinds of calls, as the platform counts them. */
export enum CallKind {
  Read = 'read',
  Write = 'write',
  /** A waiting watch counts as one for as long as it waits. */
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
  /** For a read of what has one version as a whole: the answer may be NotModified when it still has this one. */
  readonly knownVersion?: number
  readonly body?: unknown
}

export enum ReplyKind {
  /** The platform answered. */
  Response = 'answer',
  /** No connection was made: nothing can have been done. */
  NotSent = 'not-sent',
  /** It was sent, and no answer came: a write may have taken effect, or may yet. */
  NoResponse = 'no-answer',
  /** This node's own ceiling on its calls: nothing was sent. */
  Withheld = 'withheld',
  /** The answer isn't what the contract says, or is too long. */
  Malformed = 'malformed'
}

export type PlatformReply =
  | { readonly kind: ReplyKind.Response, readonly status: number, readonly body: unknown }
  | { readonly kind: ReplyKind.NotSent, readonly reason: string }
  | { readonly kind: ReplyKind.NoResponse, readonly reason: string }
  | { readonly kind: ReplyKind.Withheld, readonly retryAfterMs: number }
  | { readonly kind: ReplyKind.Malformed, readonly reason: string }

/** HTTP statuses that the contract gives a meaning. */
export enum ResponseStatus {
  Ok = 200,
  Created = 201,
  NotModified = 304,
  NotFound = 404,
  PreconditionFailed = 412,
  TooManyCalls = 429
}

const SERVER_ERROR = 500

/** The platform failed while it handled the call: a write may have taken effect. */
export function isServerError (status: number): boolean {
  return status >= SERVER_ERROR
}
