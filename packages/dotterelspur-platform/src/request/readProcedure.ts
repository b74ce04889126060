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

/** What the procedures of one store share. */
export interface ProcedureContext {
  readonly seen: SeenVersions
  readonly random: Random
  readonly maximumAttempts: number
  readonly backoff: BackoffSettings
}

type PlatformResponse = Extract<PlatformReply, { kind: ReplyKind.Response }>

/** Reads an answer. `askedAtVersion` is the highest version that this process had seen when it asked. */
type ResponseParser<Value> = (reply: PlatformResponse, askedAtVersion: number) => Result<Value, StoreError>

/** Reads a key. An answer from before what this process has already seen of the key never replaces it. */
export function * getProcedure<Body> (key: string, context: ProcedureContext): Procedure<PlatformEffect, Result<StoredObject<Body>, StoreError>> {
  const request: PlatformRequest = { callKind: CallKind.Read, method: HttpMethod.Get, path: objectPath(key) }
  return yield * readProcedure(request, context, (reply) => parseGetResponse<Body>(key, reply, context.seen))
}

/** Lists a prefix. A listing from before what this process had seen when it asked is asked for again. */
export function * listProcedure<Body> (prefix: string, context: ProcedureContext): Procedure<PlatformEffect, Result<ObjectListing<Body>, StoreError>> {
  const request: PlatformRequest = { callKind: CallKind.Read, method: HttpMethod.Get, path: listPath(prefix) }
  return yield * readProcedure(request, context, (reply, askedAtVersion) => parseListResponse<Body>(reply, askedAtVersion, context.seen))
}

/** Sends a read until it is answered, refused for good, or out of attempts. */
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
  if (object === undefined || object.key !== key) return failed({ kind: StoreErrorKind.Invalid, reason: 'not an object answer' })
  return liveObject(seen.record(object))
}

/** A key that is absent in an answer older than what was seen of it is not absent. */
function resolveAbsence<Body> (key: string, body: unknown, seen: SeenVersions): Result<StoredObject<Body>, StoreError> {
  const version = parseAbsentVersion(body)
  if (version === undefined) return failed({ kind: StoreErrorKind.Invalid, reason: 'not an absence answer' })
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
  if (listing === undefined) return failed({ kind: StoreErrorKind.Invalid, reason: 'not a listing' })
  if (listing.version < versionAtRequest) {
    seen.countStale()
    return failed({ kind: StoreErrorKind.Unavailable, reason: `the listing is of version ${listing.version}, ${versionAtRequest} was seen before` })
  }
  for (const object of listing.objects) seen.record(object)
  seen.recordVersion(listing.version)
  return success(listing)
}

/** What a refusal by the platform means for a call that has changed nothing. */
export function createStatusError (status: number, body: unknown): StoreError {
  if (status === ResponseStatus.TooManyCalls) return { kind: StoreErrorKind.RateLimited, retryAfterMs: parseRetryAfterMs(body) }
  if (isServerError(status)) return { kind: StoreErrorKind.Unavailable, reason: `status ${status}` }
  return { kind: StoreErrorKind.Invalid, reason: `status ${status}: ${JSON.stringify(body)}` }
}
