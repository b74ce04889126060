import type { Clock, Random, VmId, VmListing, VmRecord } from 'dotterelspur'

/** How the list differs from the actual state. */
export interface VmListFaults {
  /** Age of the state that the list shows. */
  readonly lagMs: number
  /** Probability that a record is missing from a response. */
  readonly missingProbability: number
  /** Probability that a record appears twice. */
  readonly duplicateProbability: number
}

interface VmSnapshot {
  readonly atMs: number
  readonly listing: VmListing
}

const NO_FAULTS: VmListFaults = { lagMs: 0, missingProbability: 0, duplicateProbability: 0 }
const SNAPSHOTS_KEPT = 512

/** The platform's list of VMs: changes take effect at once, and responses show them later. */
export class LaggingVmList {
  private readonly truth = new Map<VmId, VmRecord>()
  private snapshots: VmSnapshot[]
  private faults = NO_FAULTS

  constructor (private readonly clock: Clock, private readonly random: Random) {
    this.snapshots = [{ atMs: -Infinity, listing: { vms: [], version: 0 } }]
  }

  setFaults (faults: Partial<VmListFaults>): void {
    this.faults = { ...NO_FAULTS, ...faults }
  }

  put (record: VmRecord): void {
    this.truth.set(record.vm, record)
    this.commit()
  }

  remove (vm: VmId): void {
    if (this.truth.delete(vm)) this.commit()
  }

  /** The actual state. */
  current (): VmListing {
    return this.snapshots[this.snapshots.length - 1]!.listing
  }

  /** A response: delayed, and with records missing or repeated according to the faults. */
  answer (extraLagMs = 0): VmListing {
    const listing = this.at(this.clock.nowMs() - this.faults.lagMs - extraLagMs)
    return { version: listing.version, vms: listing.vms.flatMap((record) => this.lines(record)) }
  }

  private lines (record: VmRecord): readonly VmRecord[] {
    if (this.random.next() < this.faults.missingProbability) return []
    if (this.random.next() < this.faults.duplicateProbability) return [record, record]
    return [record]
  }

  private at (timeMs: number): VmListing {
    for (let index = this.snapshots.length - 1; index >= 0; index--) {
      if (this.snapshots[index]!.atMs <= timeMs) return this.snapshots[index]!.listing
    }
    return this.snapshots[0]!.listing
  }

  private commit (): void {
    const listing = { vms: [...this.truth.values()], version: this.current().version + 1 }
    this.snapshots = [...this.snapshots, { atMs: this.clock.nowMs(), listing }].slice(-SNAPSHOTS_KEPT)
  }
}
