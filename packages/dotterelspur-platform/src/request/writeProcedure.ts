import { StoreErrorKind, failed, perform, success } from 'dotterelspur'
import type { Procedure, Result, StoredObject, StoreError } from 'dotterelspur'
import { backoffMs } from './Backoff.js'
import { ResponseStatus, CallKind, HttpMethod, ReplyKind, isServerError } from './PlatformCall.js'
import type { PlatformReply, PlatformRequest, WriteCondition } from './PlatformCall.js'
import { send, wait } from './PlatformEffects.js'
import type { PlatformEffect } from './PlatformEffects.js'
import { parseAbsentVersion, parseConflictVersion, parseObject, parseRetryAfterMs, parseWriteToken, parseWrittenVersion } from './ObjectResponse.js'
import { objectPath } from './paths.js'
import { createStatusError } from './readProcedure.js'
import type { ProcedureContext } from './readProcedure.js'

/** A conditional write. `token` is the write token in its body; null for a deletion. */
export interface WriteIntent<Body> {
  readonly key: string
  readonly condition: WriteCondition
  readonly body: Body | null
  readonly token: string | null
}

/** The result of one attempt. */
enum AttemptKind {
  Written = 'written',
  /** Rejected permanently; this attempt wrote nothing. */
  Refused = 'refused',
  /** This attempt wrote nothing and may be retried. */
  NotWritten = 'not-written',
  /** The write may have taken effect, or may still do so. */
  Ambiguous = 'ambiguous'
}

type Attempt =
  | { readonly kind: AttemptKind.Written, readonly version: number }
  | { readonly kind: AttemptKind.Refused, readonly error: StoreError }
  | { readonly kind: AttemptKind.NotWritten, readonly error: StoreError, readonly retryAfterMs: number }
  | { readonly kind: AttemptKind.Ambiguous, readonly reason: string }

/** The result of reading the key back after a write whose outcome is ambiguous. */
enum ReadBackKind {
  /** The object has this write's token, or was deleted as requested. */
  Applied = 'applied',
  /** The condition still holds, so the write has not taken effect so far. */
  Pending = 'pending',
  /** The object has another write's version. Whether this write took effect before it can't be determined. */
  Superseded = 'superseded',
  /** The read failed or was stale. */
  Unread = 'unread'
}

type ReadBack =
  | { readonly kind: ReadBackKind.Applied, readonly version: number }
  | { readonly kind: ReadBackKind.Pending | ReadBackKind.Superseded | ReadBackKind.Unread }

/** The state of a write after an attempt with an ambiguous outcome. */
interface Ambiguity {
  readonly reason: string
  /** A read-back of a version below this one is stale and determines nothing. */
  readonly minimumVersion: number
}

/**
 * Performs a conditional write and determines its outcome when the response is lost.
 *
 * A response can be lost after the write took effect, and a write can take effect after the caller stopped waiting.
 * In both cases the key is read back and checked for the write token. While the condition still holds, the same write
 * is sent again: at most one of the copies can take effect, because the first that does invalidates the condition.
 * The result is Unknown when the outcome is still ambiguous after the last attempt, or when another writer's version
 * has replaced the object.
 */
export function * writeProcedure<Body> (intent: WriteIntent<Body>, context: ProcedureContext): Procedure<PlatformEffect, Result<StoredObject<Body>, StoreError>> {
  let ambiguity: Ambiguity | undefined
  let error: StoreError = { kind: StoreErrorKind.Unavailable, reason: 'no attempt was made' }
  let retryAfterMs = 0
  for (let number = 0; number < context.maximumAttempts; number++) {
    if (number > 0) yield * perform(wait(Math.max(retryAfterMs, backoffMs(number - 1, context.backoff, context.random))))
    const attempt = createAttempt(intent.key, yield * perform(send(writeRequest(intent))))
    if (attempt.kind === AttemptKind.Written) return createWrittenResult(intent, attempt.version, context)
    if (ambiguity === undefined && attempt.kind === AttemptKind.Refused) return failed(attempt.error)
    retryAfterMs = attempt.kind === AttemptKind.NotWritten ? attempt.retryAfterMs : 0
    if (attempt.kind === AttemptKind.NotWritten) error = attempt.error
    if (ambiguity === undefined && error.kind === StoreErrorKind.RateLimited) return failed(error)
    ambiguity = updateAmbiguity(ambiguity, attempt)
    if (ambiguity === undefined) continue
    const readBack = yield * readBackProcedure(intent, ambiguity.minimumVersion, context)
    if (readBack.kind === ReadBackKind.Applied) return createWrittenResult(intent, readBack.version, context)
    if (readBack.kind === ReadBackKind.Superseded) return createUnknownResult(intent.key, `another write has replaced the object (${ambiguity.reason})`)
  }
  return ambiguity === undefined ? failed(error) : createUnknownResult(intent.key, `the write may still take effect (${ambiguity.reason})`)
}

function writeRequest<Body> (intent: WriteIntent<Body>): PlatformRequest {
  const method = intent.token === null ? HttpMethod.Delete : HttpMethod.Put
  const base = { callKind: CallKind.Write, method, path: objectPath(intent.key), condition: intent.condition }
  return intent.token === null ? base : { ...base, body: intent.body }
}

function createAttempt (key: string, reply: PlatformReply): Attempt {
  return ATTEMPT_FACTORIES[reply.kind](key, reply as never)
}

const ATTEMPT_FACTORIES: { readonly [Kind in ReplyKind]: (key: string, reply: Extract<PlatformReply, { kind: Kind }>) => Attempt } = {
  [ReplyKind.Response]: createAttemptOfResponse,
  [ReplyKind.NotSent]: (_key, reply) => ({ kind: AttemptKind.NotWritten, error: { kind: StoreErrorKind.Unavailable, reason: reply.reason }, retryAfterMs: 0 }),
  [ReplyKind.NoResponse]: (_key, reply) => ({ kind: AttemptKind.Ambiguous, reason: reply.reason }),
  [ReplyKind.Withheld]: (_key, reply) => createRateLimitedAttempt(reply.retryAfterMs),
  [ReplyKind.Malformed]: (_key, reply) => ({ kind: AttemptKind.Ambiguous, reason: reply.reason })
}

function createAttemptOfResponse (key: string, reply: Extract<PlatformReply, { kind: ReplyKind.Response }>): Attempt {
  const { status, body } = reply
  if (status === ResponseStatus.Ok || status === ResponseStatus.Created) {
    const version = parseWrittenVersion(body)
    return version === undefined ? { kind: AttemptKind.Ambiguous, reason: 'success without a version' } : { kind: AttemptKind.Written, version }
  }
  if (status === ResponseStatus.PreconditionFailed) {
    return { kind: AttemptKind.Refused, error: { kind: StoreErrorKind.Conflict, key, currentVersion: parseConflictVersion(body) } }
  }
  if (status === ResponseStatus.TooManyCalls) return createRateLimitedAttempt(parseRetryAfterMs(body))
  if (isServerError(status)) return { kind: AttemptKind.Ambiguous, reason: `status ${status}` }
  return { kind: AttemptKind.Refused, error: createStatusError(status, body) }
}

function createRateLimitedAttempt (retryAfterMs: number): Attempt {
  return { kind: AttemptKind.NotWritten, error: { kind: StoreErrorKind.RateLimited, retryAfterMs }, retryAfterMs }
}

function updateAmbiguity (ambiguity: Ambiguity | undefined, attempt: Attempt): Ambiguity | undefined {
  if (attempt.kind === AttemptKind.Ambiguous) return { reason: attempt.reason, minimumVersion: ambiguity?.minimumVersion ?? 0 }
  if (ambiguity === undefined || attempt.kind !== AttemptKind.Refused || attempt.error.kind !== StoreErrorKind.Conflict) return ambiguity
  return { reason: ambiguity.reason, minimumVersion: Math.max(ambiguity.minimumVersion, attempt.error.currentVersion ?? 0) }
}

function * readBackProcedure<Body> (intent: WriteIntent<Body>, minimumVersion: number, context: ProcedureContext): Procedure<PlatformEffect, ReadBack> {
  const reply = yield * perform(send({ callKind: CallKind.Read, method: HttpMethod.Get, path: objectPath(intent.key) }))
  if (reply.kind !== ReplyKind.Response) return { kind: ReadBackKind.Unread }
  if (reply.status === ResponseStatus.NotFound) return evaluateAbsence(intent, parseAbsentVersion(reply.body), minimumVersion)
  const object = reply.status === ResponseStatus.Ok ? parseObject<Body>(reply.body) : undefined
  if (object === undefined || object.version < minimumVersion) return { kind: ReadBackKind.Unread }
  context.seen.record(object)
  return evaluateObject(intent, object)
}

function evaluateAbsence<Body> (intent: WriteIntent<Body>, version: number | undefined, minimumVersion: number): ReadBack {
  if (version === undefined || version < minimumVersion) return { kind: ReadBackKind.Unread }
  const expectedVersion = intent.condition.kind === 'version' ? intent.condition.version : 0
  // A response older than the version that the caller had read is stale and determines nothing.
  if (version < expectedVersion) return { kind: ReadBackKind.Unread }
  if (intent.token === null) return { kind: ReadBackKind.Applied, version }
  return { kind: intent.condition.kind === 'absent' ? ReadBackKind.Pending : ReadBackKind.Superseded }
}

function evaluateObject<Body> (intent: WriteIntent<Body>, object: StoredObject<Body>): ReadBack {
  if (intent.token !== null && parseWriteToken(object.body) === intent.token) return { kind: ReadBackKind.Applied, version: object.version }
  if (intent.condition.kind === 'absent') return { kind: ReadBackKind.Superseded }
  if (object.version > intent.condition.version) return { kind: ReadBackKind.Superseded }
  return { kind: object.version === intent.condition.version ? ReadBackKind.Pending : ReadBackKind.Unread }
}

function createWrittenResult<Body> (intent: WriteIntent<Body>, version: number, context: ProcedureContext): Result<StoredObject<Body>, StoreError> {
  const object = { key: intent.key, version, body: intent.body as Body, deleted: intent.token === null }
  context.seen.record(object)
  return success(object)
}

function createUnknownResult (key: string, reason: string): Result<never, StoreError> {
  return failed({ kind: StoreErrorKind.Unknown, key, reason })
}
