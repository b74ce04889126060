import type {
  AuditRecord, Clock, EngineApi, FabricDomainId, FailureDomainId, GroupId, MeshApi, ObjectStore, Random, ServiceApi, TeamSettings, VmDirectory, VmId, WeightStoreRate
} from 'dotterelspur'
import type { FleetTiming } from './FleetTiming.js'

/** Whether a VM's engine refuses orders that carry an old fencing number. */
export type FencingLookup = (vm: { readonly vm: VmId, readonly fabricDomain: FabricDomainId, readonly failureDomain: FailureDomainId }) => boolean

/** Dependencies and settings that the node passes to the fleet. */
export interface FleetOptions {
  readonly clock: Clock
  readonly random: Random
  readonly mesh: MeshApi
  readonly store: ObjectStore
  /** The store client for leases, with a single attempt and a short timeout, since a late renewal is of no use. Defaults to `store`. */
  readonly leaseStore?: ObjectStore
  readonly vmDirectory: VmDirectory
  readonly engines: EngineApi
  readonly services: ServiceApi
  /** All teams' settings in force on this node. */
  readonly settings: () => readonly TeamSettings[]
  readonly audit: (record: AuditRecord) => void
  /** Defaults to true for every VM. */
  readonly checksFencing?: FencingLookup
  /** Failure domains from the node's settings; others are discovered from the VM list and the mesh's members. */
  readonly failureDomains?: readonly FailureDomainId[]
  /** The weight store's total rate; each fabric domain computes its own share of it. */
  readonly weightStoreRate?: WeightStoreRate
  /** Percentage of failed requests at a group's formation, counted by this node's entry; null when too few ran for an estimate. */
  readonly errorPercent?: (group: GroupId, formation: number) => number | null
  readonly timing?: Partial<FleetTiming>
}
