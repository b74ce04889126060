import { StoreErrorKind, failed, perform, success } from 'dotterelspur'
import type { Procedure, Result, StoredObject, StoreError } from 'dotterelspur'
import { backoffMs } from './Backoff.js'
import { AnswerStatus, CallKind, HttpMethod, ReplyKind, isServerError } from './PlatformCall.js'
import type { PlatformReply, PlatformRequest, WriteCondition } from './PlatformCall.js'
import { send, wait } from './PlatformEffects.js'
import type { PlatformEffect } from './PlatformEffects.js'
import { readAbsentVersion, readConflictVersion, readObject, readRetryAfterMs, readWriteToken, readWrittenVersion } from './ObjectAnswer.js'
import { objectPath } from './paths.js'
import { refusalError } from './readProcedure.js'
import type { ProcedureContext } from './readProcedure.js'

/** A conditional write. `token` marks its body; a deletion has none. */
export interface WriteIntent<Body> {
  readonly key: string
  readonly condition: WriteCondition
  readonly body: Body | null
  readonly token: string | null
}

/** What one attempt showed. */
enum AttemptKind {
  Written = 'written',
  /** Refused for good: this attempt wrote nothing. */
  Refused = 'refused',
  /** Nothing was written; worth another attempt. */
  NotWritten = 'not-written',
  /** It may have been written, or may be written later. */
  Ambiguous = 'ambiguous'
}

type Attempt =
  | { readonly kind: AttemptKind.Written, readonly version: number }
  | { readonly kind: AttemptKind.Refused, readonly error: StoreError }
  | { readonly kind: AttemptKind.NotWritten, readonly error: StoreError, readonly retryAfterMs: number }
  | { readonly kind: AttemptKind.Ambiguous, readonly reason: string }

/** What reading back showed of a write whose answer was lost. */
enum ReadBackKind {
  /** The object carries this write's token, or is gone as asked. */
  Applied = 'applied',
  /** The condition still holds: the write hasn't taken effect so far. */
  Pending = 'pending',
  /** Another write is there. Whether this one was there before it can't be told. */
  Superseded = 'superseded',
  Unread = 'unread'
}

type ReadBack =
  | { readonly kind: ReadBackKind.Applied, readonly version: number }
  | { readonly kind: ReadBackKind.Pending | ReadBackKind.Superseded | ReadBackKind.Unread }

/** What earlier attempts leave to be settled. */
interface Doubt {
  readonly reason: string
  /** An answer from before this version doesn't settle anything. */
  readonly minimumVersion: number
}

/**
 * Writes under a condition and settles lost answers.
 *
 * An answer can be lost after the write took effect, and a write can take effect after its caller gave up.
 * Both are settled the same way: read back and look for the token; where the condition still holds, send the
 * same write again. At most one of the copies can take effect, because the first that does ends the condition.
 * What remains: after the last attempt, or behind another writer's version, the result is Unknown.
 */
export function * writeProcedure<Body> (intent: WriteIntent<Body>, context: ProcedureContext): Procedure<PlatformEffect, Result<StoredObject<Body>, StoreError>> {
  let doubt: Doubt | undefined
  let error: StoreError = { kind: StoreErrorKind.Unavailable, reason: 'no attempt was made' }
  let retryAfterMs = 0
  for (let number = 0; number < context.maximumAttempts; number++) {
    if (number > 0) yield * perform(wait(Math.max(retryAfterMs, backoffMs(number - 1, context.backoff, context.random))))
    const attempt = readAttempt(intent.key, yield * perform(send(writeRequest(intent))))
    if (attempt.kind === AttemptKind.Written) return written(intent, attempt.version, context)
    if (doubt === undefined && attempt.kind === AttemptKind.Refused) return failed(attempt.error)
    retryAfterMs = attempt.kind === AttemptKind.NotWritten ? attempt.retryAfterMs : 0
    if (attempt.kind === AttemptKind.NotWritten) error = attempt.error
    if (doubt === undefined && error.kind === StoreErrorKind.RateLimited) return failed(error)
    doubt = nextDoubt(doubt, attempt)
    if (doubt === undefined) continue
    const readBack = yield * readBackProcedure(intent, doubt.minimumVersion, context)
    if (readBack.kind === ReadBackKind.Applied) return written(intent, readBack.version, context)
    if (readBack.kind === ReadBackKind.Superseded) return unknown(intent.key, `another write followed (${doubt.reason})`)
  }
  return doubt === undefined ? failed(error) : unknown(intent.key, `it may still take effect (${doubt.reason})`)
}

function writeRequest<Body> (intent: WriteIntent<Body>): PlatformRequest {
  const method = intent.token === null ? HttpMethod.Delete : HttpMethod.Put
  const base = { callKind: CallKind.Write, method, path: objectPath(intent.key), condition: intent.condition }
  return intent.token === null ? base : { ...base, body: intent.body }
}

function readAttempt (key: string, reply: PlatformReply): Attempt {
  return ATTEMPT_READERS[reply.kind](key, reply as never)
}

const ATTEMPT_READERS: { readonly [Kind in ReplyKind]: (key: string, reply: Extract<PlatformReply, { kind: Kind }>) => Attempt } = {
  [ReplyKind.Answer]: readAnsweredAttempt,
  [ReplyKind.NotSent]: (_key, reply) => ({ kind: AttemptKind.NotWritten, error: { kind: StoreErrorKind.Unavailable, reason: reply.reason }, retryAfterMs: 0 }),
  [ReplyKind.NoAnswer]: (_key, reply) => ({ kind: AttemptKind.Ambiguous, reason: reply.reason }),
  [ReplyKind.Withheld]: (_key, reply) => rateLimited(reply.retryAfterMs),
  [ReplyKind.Malformed]: (_key, reply) => ({ kind: AttemptKind.Ambiguous, reason: reply.reason })
}

function readAnsweredAttempt (key: string, reply: Extract<PlatformReply, { kind: ReplyKind.Answer }>): Attempt {
  const { status, body } = reply
  if (status === AnswerStatus.Ok || status === AnswerStatus.Created) {
    const version = readWrittenVersion(body)
    return version === undefined ? { kind: AttemptKind.Ambiguous, reason: 'success without a version' } : { kind: AttemptKind.Written, version }
  }
  if (status === AnswerStatus.PreconditionFailed) {
    return { kind: AttemptKind.Refused, error: { kind: StoreErrorKind.Conflict, key, currentVersion: readConflictVersion(body) } }
  }
  if (status === AnswerStatus.TooManyCalls) return rateLimited(readRetryAfterMs(body))
  if (isServerError(status)) return { kind: AttemptKind.Ambiguous, reason: `status ${status}` }
  return { kind: AttemptKind.Refused, error: refusalError(status, body) }
}

function rateLimited (retryAfterMs: number): Attempt {
  return { kind: AttemptKind.NotWritten, error: { kind: StoreErrorKind.RateLimited, retryAfterMs }, retryAfterMs }
}

function nextDoubt (doubt: Doubt | undefined, attempt: Attempt): Doubt | undefined {
  if (attempt.kind === AttemptKind.Ambiguous) return { reason: attempt.reason, minimumVersion: doubt?.minimumVersion ?? 0 }
  if (doubt === undefined || attempt.kind !== AttemptKind.Refused || attempt.error.kind !== StoreErrorKind.Conflict) return doubt
  return { reason: doubt.reason, minimumVersion: Math.max(doubt.minimumVersion, attempt.error.currentVersion ?? 0) }
}

function * readBackProcedure<Body> (intent: WriteIntent<Body>, minimumVersion: number, context: ProcedureContext): Procedure<PlatformEffect, ReadBack> {
  const reply = yield * perform(send({ callKind: CallKind.Read, method: HttpMethod.Get, path: objectPath(intent.key) }))
  if (reply.kind !== ReplyKind.Answer) return { kind: ReadBackKind.Unread }
  if (reply.status === AnswerStatus.NotFound) return judgeAbsence(intent, readAbsentVersion(reply.body), minimumVersion)
  const object = reply.status === AnswerStatus.Ok ? readObject<Body>(reply.body) : undefined
  if (object === undefined || object.version < minimumVersion) return { kind: ReadBackKind.Unread }
  context.seen.note(object)
  return judgePresence(intent, object)
}

function judgeAbsence<Body> (intent: WriteIntent<Body>, version: number | undefined, minimumVersion: number): ReadBack {
  if (version === undefined || version < minimumVersion) return { kind: ReadBackKind.Unread }
  const expectedVersion = intent.condition.kind === 'version' ? intent.condition.version : 0
  // An answer from before the version that the caller had read is from the past and says nothing.
  if (version < expectedVersion) return { kind: ReadBackKind.Unread }
  if (intent.token === null) return { kind: ReadBackKind.Applied, version }
  return { kind: intent.condition.kind === 'absent' ? ReadBackKind.Pending : ReadBackKind.Superseded }
}

function judgePresence<Body> (intent: WriteIntent<Body>, object: StoredObject<Body>): ReadBack {
  if (intent.token !== null && readWriteToken(object.body) === intent.token) return { kind: ReadBackKind.Applied, version: object.version }
  if (intent.condition.kind === 'absent') return { kind: ReadBackKind.Superseded }
  if (object.version > intent.condition.version) return { kind: ReadBackKind.Superseded }
  return { kind: object.version === intent.condition.version ? ReadBackKind.Pending : ReadBackKind.Unread }
}

function written<Body> (intent: WriteIntent<Body>, version: number, context: ProcedureContext): Result<StoredObject<Body>, StoreError> {
  const object = { key: intent.key, version, body: intent.body as Body, deleted: intent.token === null }
  context.seen.note(object)
  return success(object)
}

function unknown (key: string, reason: string): Result<never, StoreError> {
  return failed({ kind: StoreErrorKind.Unknown, key, reason })
}
