import {
  vmListKey, type FabricDomainId, type FailureDomainId, type RegionId, type VmId, type VmListDocument, type VmListing, type VmRecord
} from 'dotterelspur'
import { cleanListing, recordsOf, type CleanListing, type UnusedRecord } from './CleanListing.js'
import type { FleetOptions } from './FleetOptions.js'
import type { FleetTiming } from './FleetTiming.js'
import { Ticker } from './Ticker.js'

/**
 * Reads the platform's VM list on the nodes that hold a lease, one call for all of them, and spreads each held
 * failure domain's part over the mesh. An older answer than the last one is left aside; without an answer the
 * last one stands.
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

  /** Reads the list soon, as after a lease was taken. */
  trigger (): void {
    this.ticker.trigger()
  }

  /** The failure domains of the last list, with the regions that it gives them. */
  failureDomains (): ReadonlyMap<FailureDomainId, RegionId> {
    return new Map([...this.clean.vms.values()].map((record) => [record.failureDomain, record.region]))
  }

  /** The VMs of one fabric domain as last listed. */
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
