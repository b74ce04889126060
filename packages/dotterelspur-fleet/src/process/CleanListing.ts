import { VmListState, VmRole, type FailureDomainId, type VmId, type VmListing, type VmRecord } from 'dotterelspur'

/** Why a record of the list isn't used. */
export enum RecordFault {
  /** An older line of a VM that is listed more than once. */
  OlderIncarnation = 'older-incarnation',
  /** The same incarnation is listed in two places: at most one can be true, so it is placed in neither. */
  ConflictingLocations = 'two-places'
}

export interface UnusedRecord {
  readonly record: VmRecord
  readonly fault: RecordFault
}

export interface CleanListing {
  /** Each VM once. */
  readonly vms: ReadonlyMap<VmId, VmRecord>
  readonly unused: readonly UnusedRecord[]
}

/**
 * Makes each VM of a listing appear once: the highest incarnation wins, and of two lines with the same one,
 * `leaving` wins, since a VM that leaves never turns live again under its incarnation. A VM whose newest
 * incarnation stands in two fabric domains is left out, so that no two controllers place it.
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
