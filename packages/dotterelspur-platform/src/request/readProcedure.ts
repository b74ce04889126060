import { StoreErrorKind, failed, perform, success } from 'dotterelspur'
import type { ObjectListing, Procedure, Random, Result, StoredObject, StoreError } from 'dotterelspur'
import type { SeenVersions } from '../process/SeenVersions.js'
import { backoffMs } from './Backoff.js'
import type { BackoffSettings } from './Backoff.js'
import { ResponseStatus, CallKind, HttpMethod, ReplyKind, isServerError } from './PlatformCall.js'
import type { PlatformReply, PlatformRequest } from './PlatformCall.js'
import { send, wait } from './PlatformEffects.js'
import type { PlatformEffect } from './PlatformEffects.js'
import { parseAbsentVersion, parseListing, parseObject, parseRetryAfterMs } from './ObjectResponse.js'
import { listPath, objectPath } from './paths.js'

/** State and settings shared by the procedures of one store. */
export interface ProcedureContext {
  readonly seen: SeenVersions
  readonly random: Random
  readonly maximumAttempts: number
  readonly backoff: BackoffSettings
}

type PlatformResponse = Extract<PlatformReply, { kind: ReplyKind.Response }>

/** Parses a response. `versionAtRequest` is the highest store version that this process had observed when it sent the request. */
type ResponseParser<Value> = (reply: PlatformResponse, versionAtRequest: number) => Result<Value, StoreError>

/** Reads a key. When the response is older than the state that this process has observed, the observed state is returned. */
export function * getProcedure<Body> (key: string, context: ProcedureContext): Procedure<PlatformEffect, Result<StoredObject<Body>, StoreError>> {
  const request: PlatformRequest = { callKind: CallKind.Read, method: HttpMethod.Get, path: objectPath(key) }
  return yield * readProcedure(request, context, (reply) => parseGetResponse<Body>(key, reply, context.seen))
}

/** Lists a prefix. A listing older than the version observed when the request was sent is stale, and the request is retried. */
export function * listProcedure<Body> (prefix: string, context: ProcedureContext): Procedure<PlatformEffect, Result<ObjectListing<Body>, StoreError>> {
  const request: PlatformRequest = { callKind: CallKind.Read, method: HttpMethod.Get, path: listPath(prefix) }
  return yield * readProcedure(request, context, (reply, versionAtRequest) => parseListResponse<Body>(reply, versionAtRequest, context.seen))
}

/** Sends a read, and retries it while the platform is unavailable, up to the maximum number of attempts. */
export function * readProcedure<Value> (request: PlatformRequest, context: ProcedureContext, parseResponse: ResponseParser<Value>): Procedure<PlatformEffect, Result<Value, StoreError>> {
  let lastResult: Result<Value, StoreError> = failed({ kind: StoreErrorKind.Unavailable, reason: 'no attempt was made' })
  for (let attempt = 0; attempt < context.maximumAttempts; attempt++) {
    if (attempt > 0) yield * perform(wait(backoffMs(attempt - 1, context.backoff, context.random)))
    const versionAtRequest = context.seen.storeVersion
    const reply = yield * perform(send(request))
    lastResult = reply.kind === ReplyKind.Response ? parseResponse(reply, versionAtRequest) : failed(createReplyError(reply))
    if (lastResult.ok || lastResult.error.kind !== StoreErrorKind.Unavailable) return lastResult
  }
  return lastResult
}

function createReplyError (reply: Exclude<PlatformReply, PlatformResponse>): StoreError {
  if (reply.kind === ReplyKind.Withheld) return { kind: StoreErrorKind.RateLimited, retryAfterMs: reply.retryAfterMs }
  if (reply.kind === ReplyKind.Malformed) return { kind: StoreErrorKind.Invalid, reason: reply.reason }
  return { kind: StoreErrorKind.Unavailable, reason: reply.reason }
}

function parseGetResponse<Body> (key: string, reply: PlatformResponse, seen: SeenVersions): Result<StoredObject<Body>, StoreError> {
  if (reply.status === ResponseStatus.NotFound) return resolveAbsence<Body>(key, reply.body, seen)
  if (reply.status !== ResponseStatus.Ok) return failed(createStatusError(reply.status, reply.body))
  const object = parseObject<Body>(reply.body)
  if (object === undefined || object.key !== key) return failed({ kind: StoreErrorKind.Invalid, reason: 'the response is not an object' })
  return liveObject(seen.record(object))
}

/** Handles a not-found response. When it is older than the observed state of the key, the observed state is returned. */
function resolveAbsence<Body> (key: string, body: unknown, seen: SeenVersions): Result<StoredObject<Body>, StoreError> {
  const version = parseAbsentVersion(body)
  if (version === undefined) return failed({ kind: StoreErrorKind.Invalid, reason: 'the not-found response has no version' })
  const known = seen.get<Body>(key)
  if (known === undefined || known.version <= version) {
    seen.recordVersion(version)
    return failed({ kind: StoreErrorKind.NotFound, key })
  }
  seen.countStale()
  return liveObject(known)
}

function liveObject<Body> (object: StoredObject<Body>): Result<StoredObject<Body>, StoreError> {
  return object.deleted ? failed({ kind: StoreErrorKind.NotFound, key: object.key }) : success(object)
}

function parseListResponse<Body> (reply: PlatformResponse, versionAtRequest: number, seen: SeenVersions): Result<ObjectListing<Body>, StoreError> {
  if (reply.status !== ResponseStatus.Ok) return failed(createStatusError(reply.status, reply.body))
  const listing = parseListing<Body>(reply.body)
  if (listing === undefined) return failed({ kind: StoreErrorKind.Invalid, reason: 'the response is not a listing' })
  if (listing.version < versionAtRequest) {
    seen.countStale()
    return failed({ kind: StoreErrorKind.Unavailable, reason: `stale listing: got version ${listing.version}, version ${versionAtRequest} was observed before` })
  }
  for (const object of listing.objects) seen.record(object)
  seen.recordVersion(listing.version)
  return success(listing)
}

/** Converts an error status to a store error, for a call that has had no effect. */
export function createStatusError (status: number, body: unknown): StoreError {
  if (status === ResponseStatus.TooManyCalls) return { kind: StoreErrorKind.RateLimited, retryAfterMs: parseRetryAfterMs(body) }
  if (isServerError(status)) return { kind: StoreErrorKind.Unavailable, reason: `status ${status}` }
  return { kind: StoreErrorKind.Invalid, reason: `status ${status}: ${JSON.stringify(body)}` }
}
