import type { RequestId, TeamId } from '../../process/ids.js'
import type { StoreError, StoredObject } from '../../process/ObjectStore.js'
import { StoreErrorKind } from '../../process/ObjectStore.js'
import { perform, type Effect, type Procedure } from '../../process/Procedure.js'
import type { Result } from '../../process/Result.js'
import type { WithWriteToken } from '../../version/PlatformObjects.js'

/**
 * Stored at `claims/<bucket>/<hash of team and key>`: the request id, and so the home, that a caller's idempotency key
 * maps to.
 */
export interface ClaimObject extends WithWriteToken {
  readonly team: TeamId
  readonly key: string
  readonly requestId: RequestId
  readonly claimedAtWallMs: number
}

export enum ClaimEffectKind {
  Create = 'create-claim',
  Get = 'get-claim',
  Wait = 'wait'
}

export interface CreateClaimEffect extends Effect<ClaimEffectKind.Create, Result<StoredObject<ClaimObject>, StoreError>> {
  readonly kind: ClaimEffectKind.Create
}

export interface GetClaimEffect extends Effect<ClaimEffectKind.Get, Result<StoredObject<ClaimObject>, StoreError>> {
  readonly kind: ClaimEffectKind.Get
}

export interface ClaimWaitEffect extends Effect<ClaimEffectKind.Wait, void> {
  readonly kind: ClaimEffectKind.Wait
}

export type ClaimEffects = CreateClaimEffect | GetClaimEffect | ClaimWaitEffect

export enum ClaimStateKind {
  /** The key maps to this request id. */
  Settled = 'settled',
  /** No claim was written, and none by this call can still be written. */
  NotWritten = 'not-written',
  /** The claim may have been written, or may still be. */
  Unsettled = 'unsettled'
}

export type ClaimState =
  | { readonly kind: ClaimStateKind.Settled, readonly requestId: RequestId }
  | { readonly kind: ClaimStateKind.NotWritten | ClaimStateKind.Unsettled, readonly reason: string }

const MAX_ATTEMPTS = 3

/**
 * Returns the request id that a caller's idempotency key maps to, and claims the key if it is free.
 *
 * The response to a create can be lost after the claim was written. Treating that as a failure would let another node
 * claim the key a second time; treating it as a success would let two ids run. So the same body is created again and
 * read back: the stored request id, of whichever write came first, is the valid one. After a conflict whose claim can't
 * be read yet, because the read returned stale data, the result is Unsettled.
 */
export function * resolveClaim (): Procedure<ClaimEffects, ClaimState> {
  let mayBeWritten = false
  let reason = ''
  for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts += 1) {
    const created = yield * perform<CreateClaimEffect>({ kind: ClaimEffectKind.Create })
    if (created.ok) return settled(created.value)
    if (created.error.kind === StoreErrorKind.Unknown || created.error.kind === StoreErrorKind.Conflict) mayBeWritten = true
    const read = yield * perform<GetClaimEffect>({ kind: ClaimEffectKind.Get })
    if (read.ok && !read.value.deleted) return settled(read.value)
    reason = describe(created.error)
    if (!mayBeWritten) break
    yield * perform<ClaimWaitEffect>({ kind: ClaimEffectKind.Wait })
  }
  return { kind: mayBeWritten ? ClaimStateKind.Unsettled : ClaimStateKind.NotWritten, reason }
}

function settled (object: StoredObject<ClaimObject>): ClaimState {
  return { kind: ClaimStateKind.Settled, requestId: object.body.requestId }
}

function describe (error: StoreError): string {
  return 'reason' in error ? error.reason : error.kind
}
