import { CLAIM_PREFIX, NodeState, homeOf, rendezvousOrder, type ClaimObject, type Teardown } from 'dotterelspur'
import type { EntryContext } from './EntryContext.js'

export const CLAIM_BUCKETS = 256
const SWEEP_INTERVAL_MS = 60 * 60_000
const HEX_DIGITS = 2

/** The bucket's part of a claim's store key. */
export function claimBucket (index: number): string {
  return index.toString(16).padStart(HEX_DIGITS, '0')
}

/**
 * Removes claims whose retention time has passed. Without it, the store would keep an object for every key that any caller
 * ever chose. Each bucket is swept by one alive node with one list call an hour. If two nodes both sweep a bucket, some of
 * their removals fail without harm.
 */
export class ClaimSweeper {
  constructor (private readonly context: EntryContext) {}

  start (): Teardown {
    const { clock, random } = this.context
    let cancel = clock.registerTimer(random.next() * SWEEP_INTERVAL_MS, () => { run() })
    const run = (): void => {
      cancel = clock.registerTimer(SWEEP_INTERVAL_MS, run)
      this.sweep().catch(() => {})
    }
    return () => { cancel() }
  }

  /** Sweeps this node's buckets one after the other. Returns the number of removed claims. */
  async sweep (): Promise<number> {
    let removed = 0
    for (let index = 0; index < CLAIM_BUCKETS; index += 1) {
      const bucket = claimBucket(index)
      if (this.isOwnBucket(bucket)) removed += await this.sweepBucket(bucket)
    }
    return removed
  }

  private isOwnBucket (bucket: string): boolean {
    const { mesh } = this.context
    const aliveHomes = mesh.members().filter((member) => member.state === NodeState.Alive).map(homeOf)
    return rendezvousOrder(`${CLAIM_PREFIX}${bucket}`, aliveHomes)[0] === homeOf(mesh.self)
  }

  private async sweepBucket (bucket: string): Promise<number> {
    const { store, clock, timing, observer } = this.context
    observer.claimCall()
    const listing = await store.list<ClaimObject>(`${CLAIM_PREFIX}${bucket}/`)
    if (!listing.ok) return 0
    let removed = 0
    for (const claim of listing.value.objects) {
      if (claim.deleted || clock.wallMs() - claim.body.claimedAtWallMs < timing.claimRetentionMs) continue
      observer.claimCall()
      const removal = await store.remove(claim.key, claim.version)
      if (removal.ok) removed += 1
    }
    return removed
  }
}
