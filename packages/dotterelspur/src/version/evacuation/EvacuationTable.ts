import type { FailureDomainId } from '../../process/ids.js'

/** One failure domain that operators have evacuated. */
export interface Evacuation {
  readonly failureDomain: FailureDomainId
  /** When this node learned of the evacuation, on its own monotonic clock. */
  readonly learnedAtMs: number
  /** Store version of the entry, when this node learned of it. */
  readonly storeVersion: number
}

/** The evacuations in force, by failure domain. A name that is no known failure domain is kept as well, and has no effect. */
export type Evacuations = ReadonlyMap<FailureDomainId, Evacuation>

/** One change of the evacuations in force. */
export interface EvacuationChange {
  readonly current: Evacuations
  readonly begun: readonly Evacuation[]
  readonly ended: readonly Evacuation[]
}

/** An entry of the store; only its name counts, whatever its body is. */
export interface EvacuationEntry {
  readonly failureDomain: FailureDomainId
  readonly version: number
}

/**
 * The failure domains that operators have evacuated, as an immutable snapshot made of the store's entries. Load pattern:
 * all capacity of a failure domain leaves in one step on every node, and returns in one step.
 *
 * An entry that is missing after a return of the store stays in force until `dropMissing`: the older copy may lack an
 * evacuation that operators still want, and dropping it would send requests into the domain until they write it again.
 */
export class EvacuationTable {
  private snapshot: Evacuations = new Map()
  /** Changes of an incomplete batch, so that an entry that is deleted and written again in one batch never ends. */
  private pending: Map<FailureDomainId, Evacuation> | null = null
  /** Entries that the last listing after a return of the store lacks. */
  private readonly missing = new Set<FailureDomainId>()
  /** Changes up to this version are part of the last listing; a feed update may repeat them. */
  private listedVersion = -Infinity

  get current (): Evacuations {
    return this.snapshot
  }

  /** Applies one written entry; the change is null while `hasMore` changes of the batch follow, or if nothing changed. */
  applyEntry ({ failureDomain, version }: EvacuationEntry, hasMore: boolean, nowMs: number): EvacuationChange | null {
    if (version > this.listedVersion) {
      this.missing.delete(failureDomain)
      this.put(this.beginPending(), { failureDomain, version }, nowMs)
    }
    return hasMore ? null : this.commit()
  }

  /** Applies a deletion, which is an operator's withdrawal and takes effect at once. It may carry the version of the deleted entry. */
  applyDeletion ({ failureDomain, version }: EvacuationEntry, hasMore: boolean): EvacuationChange | null {
    const pending = this.beginPending()
    const known = pending.get(failureDomain)
    if (known !== undefined && version >= known.storeVersion) {
      this.missing.delete(failureDomain)
      pending.delete(failureDomain)
    }
    return hasMore ? null : this.commit()
  }

  /** @param keepsMissing the store may have lost entries, so those that the listing lacks stay in force until `dropMissing`. */
  applyListing (entries: readonly EvacuationEntry[], version: number, keepsMissing: boolean, nowMs: number): EvacuationChange | null {
    const pending = this.beginPending()
    for (const entry of entries) this.put(pending, entry, nowMs)
    const found = new Set(entries.map(({ failureDomain }) => failureDomain))
    this.missing.clear()
    for (const failureDomain of [...pending.keys()].filter((known) => !found.has(known))) {
      if (keepsMissing) this.missing.add(failureDomain)
      else pending.delete(failureDomain)
    }
    this.listedVersion = version
    return this.commit()
  }

  /** Ends the evacuations whose entries have not been written again since the store came back without them. */
  dropMissing (): EvacuationChange | null {
    const pending = this.beginPending()
    for (const failureDomain of this.missing) pending.delete(failureDomain)
    this.missing.clear()
    return this.commit()
  }

  private beginPending (): Map<FailureDomainId, Evacuation> {
    this.pending ??= new Map(this.snapshot)
    return this.pending
  }

  /** An entry that is written again stays in force since this node first learned of it. */
  private put (pending: Map<FailureDomainId, Evacuation>, { failureDomain, version }: EvacuationEntry, nowMs: number): void {
    const learnedAtMs = this.snapshot.get(failureDomain)?.learnedAtMs ?? nowMs
    pending.set(failureDomain, { failureDomain, learnedAtMs, storeVersion: version })
  }

  private commit (): EvacuationChange | null {
    const previous = this.snapshot
    const current = this.pending ?? previous
    this.pending = null
    this.snapshot = current
    const begun = [...current.values()].filter(({ failureDomain }) => !previous.has(failureDomain))
    const ended = [...previous.values()].filter(({ failureDomain }) => !current.has(failureDomain))
    return begun.length + ended.length === 0 ? null : { current, begun, ended }
  }
}
