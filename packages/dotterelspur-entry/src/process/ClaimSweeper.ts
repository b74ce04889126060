import { CLAIM_PREFIX, NodeState, homeOf, rendezvousOrder, type ClaimObject, type Teardown } from 'dotterelspur'
import type { EntryContext } from './EntryContext.js'

export const CLAIM_BUCKETS = 256
const SWEEP_INTERVAL_MS = 60 * 60_000
const HEX_DIGITS = 2

/** The name of a bucket of claims. */
export function claimBucket (index: number): string {
  return index.toString(16).padStart(HEX_DIGITS, '0')
}

/**
 * Removes claims that are older than their retention. Without it the platform would keep one object for each key
 * that any caller ever chose. Each bucket is swept by one living node, one list an hour; two nodes that both think
 * a bucket theirs only see each other's removals fail.
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

  /** Sweeps the buckets that are this node's, one after the other. Returns how many claims were removed. */
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
