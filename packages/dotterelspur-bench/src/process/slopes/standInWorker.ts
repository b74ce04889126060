/** A process that holds the platform's stand-in for a measured client, so that its processor time stays out of the client's. */
import { PlatformServer } from 'dotterelspur-testkit'
import { DESIGN_TOPOLOGY } from './DesignSize.js'
import { initialDocuments, groupPlaces, memberNames } from './Topology.js'
import { VmListState, VmRole } from 'dotterelspur'

const UNLIMITED = { readsPerSecond: 1_000_000, writesPerSecond: 1_000_000 }

const server = new PlatformServer({ rates: UNLIMITED, heartbeatIntervalMs: 1_000 })
await server.start()
for (const document of initialDocuments(DESIGN_TOPOLOGY)) {
  if (document.key.startsWith('teams/') || document.key.startsWith('assignments/')) server.objects.create(document.key, document.body)
}
for (const place of groupPlaces(DESIGN_TOPOLOGY)) {
  for (const vm of memberNames(DESIGN_TOPOLOGY, place)) {
    server.vms.put({ vm, incarnation: 2, role: VmRole.Engine, state: VmListState.Live, address: 'http://10.1.2.3:9000', region: place.region, failureDomain: place.failureDomain, fabricDomain: place.fabricDomain })
  }
}
process.send!({ url: server.url })
process.once('disconnect', () => { process.exit(0) })
