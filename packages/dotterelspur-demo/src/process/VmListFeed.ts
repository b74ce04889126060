import type { Teardown, VmRecord } from 'dotterelspur'
import type { EndpointFleet, PlatformServer } from 'dotterelspur-testkit'

/** Updates the platform's list of VMs from the stand-in endpoints; the list itself adds the lag. */
export function registerVmListFeed (fleet: EndpointFleet, platform: PlatformServer): Teardown {
  let listed = new Map<string, VmRecord>()
  const update = (): void => {
    const records = new Map(fleet.records().map((record) => [record.vm, record]))
    for (const [vm, record] of records) {
      if (JSON.stringify(listed.get(vm)) !== JSON.stringify(record)) platform.vms.put(record)
    }
    for (const vm of listed.keys()) {
      if (!records.has(vm)) platform.vms.remove(vm)
    }
    listed = records
  }
  update()
  return fleet.registerRecordsListener(update)
}
