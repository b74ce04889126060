import type {
  AuditRecord, Clock, EngineApi, FabricDomainId, FailureDomainId, GroupId, MeshApi, ObjectStore, Random, ServiceApi, TeamSettings, VmDirectory, VmId, WeightStoreRate
} from 'dotterelspur'
import type { FleetTiming } from './FleetTiming.js'

/** Whether a VM's engine refuses orders that carry an old fencing number. */
export type FencingLookup = (vm: { readonly vm: VmId, readonly fabricDomain: FabricDomainId, readonly failureDomain: FailureDomainId }) => boolean

/** What the fleet needs of the node that it runs in. */
export interface FleetOptions {
  readonly clock: Clock
  readonly random: Random
  readonly mesh: MeshApi
  readonly store: ObjectStore
  /** For leases alone: one attempt and a short timeout, since a renewal that comes late is of no use. By default `store`. */
  readonly leaseStore?: ObjectStore
  readonly vmDirectory: VmDirectory
  readonly engines: EngineApi
  readonly services: ServiceApi
  /** All teams' settings in force on this node. */
  readonly settings: () => readonly TeamSettings[]
  readonly audit: (record: AuditRecord) => void
  /** True for every VM unless the node's settings say otherwise. */
  readonly checksFencing?: FencingLookup
  /** Failure domains that are known by the node's settings; others are learned from the VM list and the members. */
  readonly failureDomains?: readonly FailureDomainId[]
  /** The weight store's whole rate; each fabric domain takes its share without asking. */
  readonly weightStoreRate?: WeightStoreRate
  /** Failed requests of 100 at a group's formation as this node's entry counts them, null when too few ran to tell. */
  readonly errorPercent?: (group: GroupId, formation: number) => number | null
  readonly timing?: Partial<FleetTiming>
}
