import type { FabricDomainId, FailureDomainId, RegionId, ServiceId, VmId } from './ids.js'
import type { Result } from './Result.js'
import type { StoreError } from './ObjectStore.js'

export enum VmRole {
  /** Runs a model engine and can be a member of a group. */
  Engine = 'engine',
  /** Runs one worker of a plain service. */
  Service = 'service'
}

export enum VmListState {
  Live = 'live',
  /** The platform will remove the VM soon. */
  Leaving = 'leaving'
}

/** One entry of the platform's list. The list lags: a listed VM may be dead, a live one may be missing or listed twice. */
export interface VmRecord {
  readonly vm: VmId
  /** Increases each time the VM starts; processes of a lower incarnation have terminated. */
  readonly incarnation: number
  readonly role: VmRole
  readonly state: VmListState
  /** Base URL, such as `http://10.0.0.7:8000`. */
  readonly address: string
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  /** Empty for service VMs. */
  readonly fabricDomain: FabricDomainId
  /** Set for service VMs. */
  readonly service?: ServiceId
}

/** The platform's lagging list of live and leaving VMs. */
export interface VmDirectory {
  /** Makes one call that the platform counts. */
  list (): Promise<Result<VmListing, StoreError>>
}

export interface VmListing {
  readonly vms: readonly VmRecord[]
  /** Increases with each change of the list; a response with a lower version is outdated. */
  readonly version: number
}
