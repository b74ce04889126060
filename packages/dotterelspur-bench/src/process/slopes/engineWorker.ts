/** A process that holds stand-in engines for a measured prober. */
import { VmRole } from 'dotterelspur'
import { EndpointFleet } from 'dotterelspur-testkit'

const ENGINES = 16

const places = Array.from({ length: ENGINES }, (_, index) => ({ vm: `vm-group-1-${index}`, role: VmRole.Engine, region: 'region-1', failureDomain: 'domain-1', fabricDomain: 'fabric-1' }))
const fleet = new EndpointFleet({ places })
await fleet.start()
process.send!({ addresses: places.map((place) => fleet.address(place.vm)) })
process.once('disconnect', () => { process.exit(0) })
