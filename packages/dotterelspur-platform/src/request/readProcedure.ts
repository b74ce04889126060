import { StoreErrorKind, failed, perform, success } from 'dotterelspur'
import type { ObjectListing, Procedure, Random, Result, StoredObject, StoreError } from 'dotterelspur'
import type { SeenVersions } from '../process/SeenVersions.js'
import { backoffMs } from './Backoff.js'
import type { BackoffSettings } from './Backoff.js'
import { AnswerStatus, CallKind, HttpMethod, ReplyKind, isServerError } from './PlatformCall.js'
import type { PlatformReply, PlatformRequest } from './PlatformCall.js'
import { send, wait } from './PlatformEffects.js'
import type { PlatformEffect } from './PlatformEffects.js'
import { readAbsentVersion, readListing, readObject, readRetryAfterMs } from './ObjectAnswer.js'
import { listPath, objectPath } from './paths.js'

/** What the procedures of one store share. */
export interface ProcedureContext {
  readonly seen: SeenVersions
  readonly random: Random
  readonly maximumAttempts: number
  readonly backoff: BackoffSettings
}

type Answer = Extract<PlatformReply, { kind: ReplyKind.Answer }>

/** Reads an answer. `askedAtVersion` is the highest version that this process had seen when it asked. */
type AnswerReader<Value> = (reply: Answer, askedAtVersion: number) => Result<Value, StoreError>

/** Reads a key. An answer from before what this process has already seen of the key never replaces it. */
export function * getProcedure<Body> (key: string, context: ProcedureContext): Procedure<PlatformEffect, Result<StoredObject<Body>, StoreError>> {
  const request: PlatformRequest = { callKind: CallKind.Read, method: HttpMethod.Get, path: objectPath(key) }
  return yield * readProcedure(request, context, (reply) => readGetAnswer<Body>(key, reply, context.seen))
}

/** Lists a prefix. A listing from before what this process had seen when it asked is asked for again. */
export function * listProcedure<Body> (prefix: string, context: ProcedureContext): Procedure<PlatformEffect, Result<ObjectListing<Body>, StoreError>> {
  const request: PlatformRequest = { callKind: CallKind.Read, method: HttpMethod.Get, path: listPath(prefix) }
  return yield * readProcedure(request, context, (reply, askedAtVersion) => readListAnswer<Body>(reply, askedAtVersion, context.seen))
}

/** Sends a read until it is answered, refused for good, or out of attempts. */
export function * readProcedure<Value> (request: PlatformRequest, context: ProcedureContext, readAnswer: AnswerReader<Value>): Procedure<PlatformEffect, Result<Value, StoreError>> {
  let last: Result<Value, StoreError> = failed({ kind: StoreErrorKind.Unavailable, reason: 'no attempt was made' })
  for (let attempt = 0; attempt < context.maximumAttempts; attempt++) {
    if (attempt > 0) yield * perform(wait(backoffMs(attempt - 1, context.backoff, context.random)))
    const askedAtVersion = context.seen.storeVersion
    const reply = yield * perform(send(request))
    last = reply.kind === ReplyKind.Answer ? readAnswer(reply, askedAtVersion) : failed(readError(reply))
    if (last.ok || last.error.kind !== StoreErrorKind.Unavailable) return last
  }
  return last
}

function readError (reply: Exclude<PlatformReply, Answer>): StoreError {
  if (reply.kind === ReplyKind.Withheld) return { kind: StoreErrorKind.RateLimited, retryAfterMs: reply.retryAfterMs }
  if (reply.kind === ReplyKind.Malformed) return { kind: StoreErrorKind.Invalid, reason: reply.reason }
  return { kind: StoreErrorKind.Unavailable, reason: reply.reason }
}

function readGetAnswer<Body> (key: string, reply: Answer, seen: SeenVersions): Result<StoredObject<Body>, StoreError> {
  if (reply.status === AnswerStatus.NotFound) return readAbsence<Body>(key, reply.body, seen)
  if (reply.status !== AnswerStatus.Ok) return failed(refusalError(reply.status, reply.body))
  const object = readObject<Body>(reply.body)
  if (object === undefined || object.key !== key) return failed({ kind: StoreErrorKind.Invalid, reason: 'not an object answer' })
  return liveObject(seen.note(object))
}

/** A key that is absent in an answer older than what was seen of it is not absent. */
function readAbsence<Body> (key: string, body: unknown, seen: SeenVersions): Result<StoredObject<Body>, StoreError> {
  const version = readAbsentVersion(body)
  if (version === undefined) return failed({ kind: StoreErrorKind.Invalid, reason: 'not an absence answer' })
  const known = seen.get<Body>(key)
  if (known === undefined || known.version <= version) {
    seen.noteVersion(version)
    return failed({ kind: StoreErrorKind.NotFound, key })
  }
  seen.noteStale()
  return liveObject(known)
}

function liveObject<Body> (object: StoredObject<Body>): Result<StoredObject<Body>, StoreError> {
  return object.deleted ? failed({ kind: StoreErrorKind.NotFound, key: object.key }) : success(object)
}

function readListAnswer<Body> (reply: Answer, askedAtVersion: number, seen: SeenVersions): Result<ObjectListing<Body>, StoreError> {
  if (reply.status !== AnswerStatus.Ok) return failed(refusalError(reply.status, reply.body))
  const listing = readListing<Body>(reply.body)
  if (listing === undefined) return failed({ kind: StoreErrorKind.Invalid, reason: 'not a listing' })
  if (listing.version < askedAtVersion) {
    seen.noteStale()
    return failed({ kind: StoreErrorKind.Unavailable, reason: `the listing is of version ${listing.version}, ${askedAtVersion} was seen before` })
  }
  for (const object of listing.objects) seen.note(object)
  seen.noteVersion(listing.version)
  return success(listing)
}

/** What a refusal by the platform means for a call that has changed nothing. */
export function refusalError (status: number, body: unknown): StoreError {
  if (status === AnswerStatus.TooManyCalls) return { kind: StoreErrorKind.RateLimited, retryAfterMs: readRetryAfterMs(body) }
  if (isServerError(status)) return { kind: StoreErrorKind.Unavailable, reason: `status ${status}` }
  return { kind: StoreErrorKind.Invalid, reason: `status ${status}: ${JSON.stringify(body)}` }
}
