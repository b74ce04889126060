import { createHash, randomBytes } from 'node:crypto'
import {
  CLAIM_PREFIX, ClaimEffectKind, ClaimStateKind, OutcomeKind, OutcomeReason, StoreErrorKind, formatRequestId, hashText, homeOf, parseRequestId, runProcedure, resolveClaim, sleep, unknownOutcome,
  type ClaimObject, type ClaimState, type HomeId, type Outcome, type RequestId, type TeamId
} from 'dotterelspur'
import { CLAIM_BUCKETS, claimBucket } from '../process/ClaimSweeper.js'
import type { EntryContext } from '../process/EntryContext.js'
import type { NodeGate } from '../process/NodeGate.js'
import { unsentOutcome, type HomeLink } from './HomeLink.js'
import type { HomeRuns } from './HomeRuns.js'
import { finishedWith, type RunEvents, type RunRequest } from './RunRequest.js'

const RANDOM_BYTES = 12
const CLAIM_RETRY_MS = 100

/** Creates a request id whose home is this process. */
export function mintRequestId (context: EntryContext): RequestId {
  return formatRequestId(homeOf(context.mesh.self), context.clock.wallMs(), randomBytes(RANDOM_BYTES).toString('base64url'))
}

/** Store key of the claim for a team's own idempotency key. */
export function claimKey (team: TeamId, key: string): string {
  const scoped = `${team}\u0000${key}`
  const bucket = claimBucket(hashText(scoped) % CLAIM_BUCKETS)
  return `${CLAIM_PREFIX}${bucket}/${createHash('sha256').update(scoped).digest('hex')}`
}

/** Runs each non-idempotent request at the home of its id, whichever node accepted it. */
export class KeyedRuns {
  constructor (private readonly context: EntryContext, private readonly homeRuns: HomeRuns, private readonly link: HomeLink, private readonly gate: NodeGate) {}

  /**
   * @param key the caller's idempotency key: a request id that names its home, a key of the caller's own, or null.
   *   `request.requestId` is a new id of this process, used if the key does not resolve to an id.
   */
  async run (request: RunRequest, key: string | null): Promise<{ readonly requestId: RequestId, readonly events: RunEvents }> {
    if (key === null) return this.runAtHome(request)
    if (parseRequestId(key) !== undefined) return this.runAtHome({ ...request, requestId: key })
    return this.runClaimed(request, key)
  }

  /** The request id that a key refers to; undefined if the key has no claim, an outcome if the store can't be read. */
  async resolve (team: TeamId, key: string): Promise<RequestId | Outcome | undefined> {
    if (parseRequestId(key) !== undefined) return key
    this.context.observer.claimCall()
    const claim = await this.context.store.get<ClaimObject>(claimKey(team, key))
    if (claim.ok) return claim.value.deleted ? undefined : claim.value.body.requestId
    if (claim.error.kind === StoreErrorKind.NotFound) return undefined
    return unknownOutcome(OutcomeReason.StoreUnavailable, 'the platform\'s store can\'t be read for this key now', 1_000)
  }

  isLocalHome (home: HomeId): boolean {
    return home === homeOf(this.context.mesh.self)
  }

  private runAtHome (request: RunRequest): { readonly requestId: RequestId, readonly events: RunEvents } {
    const { home } = parseRequestId(request.requestId)!
    const events = this.isLocalHome(home) ? this.homeRuns.run(request) : this.link.run(home, request)
    return { requestId: request.requestId, events }
  }

  private async runClaimed (request: RunRequest, key: string): Promise<{ readonly requestId: RequestId, readonly events: RunEvents }> {
    const refusal = this.gate.refusal()
    if (refusal !== null) return this.refuseOrForward(request, key, refusal)
    const claim = await this.claim(request, key)
    if (claim.kind === ClaimStateKind.Settled) return this.runAtHome({ ...request, requestId: claim.requestId })
    const outcome = claim.kind === ClaimStateKind.NotWritten
      ? unsentOutcome(request, `the key could not be claimed: ${claim.reason}`, OutcomeReason.StoreUnavailable)
      : unknownOutcome(OutcomeReason.ClaimUnsettled, `it is undecided which request the key refers to: ${claim.reason}`, 1_000)
    return this.refuse(request, outcome)
  }

  /** Used while this node accepts no new requests: a key that already refers to an id is still forwarded to the id's home. */
  private async refuseOrForward (request: RunRequest, key: string, refusal: Outcome): Promise<{ readonly requestId: RequestId, readonly events: RunEvents }> {
    const resolved = this.gate.isIsolated() ? undefined : await this.resolve(request.team, key)
    if (typeof resolved === 'string') return this.runAtHome({ ...request, requestId: resolved })
    return this.refuse(request, unsentOutcome(request, refusal.message, refusal.reason, refusal.retryAfterMs ?? undefined))
  }

  private refuse (request: RunRequest, outcome: Outcome): { readonly requestId: RequestId, readonly events: RunEvents } {
    if (outcome.kind === OutcomeKind.Unknown) this.context.observer.refusedAsUnknown(outcome.reason)
    return { requestId: request.requestId, events: finishedEvents(outcome) }
  }

  private claim (request: RunRequest, key: string): Promise<ClaimState> {
    const { store, clock, observer } = this.context
    const { team, requestId } = request
    const path = claimKey(team, key)
    const body: ClaimObject = { team, key, requestId, claimedAtWallMs: clock.wallMs(), writeToken: requestId }
    return runProcedure(resolveClaim(), {
      [ClaimEffectKind.Create]: () => {
        observer.claimCall()
        return store.create(path, body)
      },
      [ClaimEffectKind.Get]: () => {
        observer.claimCall()
        return store.get<ClaimObject>(path)
      },
      [ClaimEffectKind.Wait]: () => sleep(clock, CLAIM_RETRY_MS)
    })
  }
}

async function * finishedEvents (outcome: Outcome): RunEvents {
  yield [finishedWith(outcome)]
}
