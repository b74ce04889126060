import { VmListState, VmRole, type FailureDomainId, type VmId, type VmListing, type VmRecord } from 'dotterelspur'

/** Why a record of the VM list isn't used. */
export enum RecordFault {
  /** The record of an older incarnation of a VM that is listed more than once. */
  OlderIncarnation = 'older-incarnation',
  /** The same incarnation is listed at two locations. At most one can be right, so the VM isn't used at either. */
  ConflictingLocations = 'two-places'
}

export interface UnusedRecord {
  readonly record: VmRecord
  readonly fault: RecordFault
}

export interface CleanListing {
  /** The record to use for each VM. */
  readonly vms: ReadonlyMap<VmId, VmRecord>
  readonly unused: readonly UnusedRecord[]
}

/**
 * Reduces a listing to one record per VM. The highest incarnation wins, and of two records with the same incarnation
 * `leaving` wins, since a leaving VM never becomes live again under the same incarnation. A VM whose newest incarnation
 * is listed at two locations is left out, so that two controllers can't both assign it.
 */
export function cleanListing (listing: VmListing): CleanListing {
  const vms = new Map<VmId, VmRecord>()
  const unused: UnusedRecord[] = []
  const conflicting = new Set<VmId>()
  for (const record of listing.vms) {
    const known = vms.get(record.vm)
    if (known === undefined || record.incarnation > known.incarnation) {
      if (known !== undefined) unused.push({ record: known, fault: RecordFault.OlderIncarnation })
      vms.set(record.vm, record)
      conflicting.delete(record.vm)
      continue
    }
    if (record.incarnation < known.incarnation) {
      unused.push({ record, fault: RecordFault.OlderIncarnation })
      continue
    }
    if (!isSameLocation(record, known)) conflicting.add(record.vm)
    if (record.state === VmListState.Leaving) vms.set(record.vm, { ...known, state: VmListState.Leaving })
  }
  for (const vm of conflicting) {
    unused.push({ record: vms.get(vm)!, fault: RecordFault.ConflictingLocations })
    vms.delete(vm)
  }
  return { vms, unused }
}

function isSameLocation (left: VmRecord, right: VmRecord): boolean {
  return left.fabricDomain === right.fabricDomain && left.failureDomain === right.failureDomain && left.role === right.role
}

/** The records of one failure domain, in a stable order. */
export function recordsOf (clean: CleanListing, failureDomain: FailureDomainId): readonly VmRecord[] {
  return [...clean.vms.values()]
    .filter((record) => record.failureDomain === failureDomain)
    .sort((left, right) => left.vm < right.vm ? -1 : 1)
}

export function isEngine (record: VmRecord): boolean {
  return record.role === VmRole.Engine
}
