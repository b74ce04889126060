import {
  vmListKey, type FabricDomainId, type FailureDomainId, type RegionId, type VmId, type VmListDocument, type VmListing, type VmRecord
} from 'dotterelspur'
import { cleanListing, recordsOf, type CleanListing, type UnusedRecord } from './CleanListing.js'
import type { FleetOptions } from './FleetOptions.js'
import type { FleetTiming } from './FleetTiming.js'
import { Ticker } from './Ticker.js'

/**
 * Polls the platform's VM list while this node holds a lease, with one call for all its leases, and broadcasts the records
 * of each of its failure domains through the mesh. A listing with an older version than the last one is ignored, and when
 * a poll fails the last listing stays in use.
 */
export class VmListPoller {
  private listing: VmListing | null = null
  private clean: CleanListing = { vms: new Map(), unused: [] }
  private readonly ticker: Ticker
  private readonly lastBroadcast = new Map<FailureDomainId, string>()

  constructor (
    private readonly options: FleetOptions, timing: FleetTiming, private readonly heldFailureDomains: () => readonly FailureDomainId[],
    private readonly onChange: () => void, onError: (error: unknown) => void
  ) {
    this.ticker = new Ticker(options.clock, options.random, timing.vmListIntervalMs, async () => { await this.poll() }, onError)
  }

  start (): void {
    this.ticker.start()
  }

  stop (): void {
    this.ticker.stop()
  }

  /** Polls the list at once, as after a lease was taken. */
  trigger (): void {
    this.ticker.trigger()
  }

  /** The failure domains in the last listing, with their regions. */
  failureDomains (): ReadonlyMap<FailureDomainId, RegionId> {
    return new Map([...this.clean.vms.values()].map((record) => [record.failureDomain, record.region]))
  }

  /** The VMs of one fabric domain in the last listing. */
  fabricDomain (fabricDomain: FabricDomainId): readonly VmRecord[] {
    return [...this.clean.vms.values()].filter((record) => record.fabricDomain === fabricDomain)
  }

  record (vm: VmId): VmRecord | undefined {
    return this.clean.vms.get(vm)
  }

  allVms (): readonly VmRecord[] {
    return [...this.clean.vms.values()]
  }

  unused (): readonly UnusedRecord[] {
    return this.clean.unused
  }

  private async poll (): Promise<void> {
    const held = this.heldFailureDomains()
    if (held.length === 0) return
    const result = await this.options.vmDirectory.list()
    if (!result.ok) return
    this.options.mesh.noteStoreContact()
    if (this.listing !== null && result.value.version < this.listing.version) return
    const isNew = this.listing === null || result.value.version > this.listing.version
    if (isNew) {
      this.listing = result.value
      this.clean = cleanListing(result.value)
    }
    for (const failureDomain of held) this.broadcastPart(failureDomain)
    if (isNew) this.onChange()
  }

  private broadcastPart (failureDomain: FailureDomainId): void {
    const body: VmListDocument = { failureDomain, vms: recordsOf(this.clean, failureDomain) }
    const serialized = JSON.stringify(body.vms)
    if (this.lastBroadcast.get(failureDomain) === serialized) return
    this.lastBroadcast.set(failureDomain, serialized)
    this.options.mesh.offerDocument({ key: vmListKey(failureDomain), version: this.listing!.version, body, deleted: false })
  }
}
