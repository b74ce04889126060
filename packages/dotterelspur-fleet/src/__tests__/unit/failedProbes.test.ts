import { expect } from 'chai'
import { createRandom, EndpointErrorKind, failed, ManualClock, VmListState, VmRole, type EngineApi, type ServiceApi, type VmRecord } from 'dotterelspur'
import type { FleetOptions } from '../../process/FleetOptions.js'
import { DEFAULT_FLEET_TIMING } from '../../process/FleetTiming.js'
import { Prober } from '../../process/Prober.js'
import { ServiceWatcher } from '../../process/ServiceWatcher.js'

const SILENT = failed({ kind: EndpointErrorKind.Broken, reason: 'silent', offset: 0 } as const)
const PROBES = 5

/** A probe that throws for the first address that it gets, as the HTTP client does for one that it can't use. */
class ThrowingProbe {
  readonly probed: string[] = []

  async probe (address: string): Promise<typeof SILENT> {
    this.probed.push(address)
    if (this.probed.length === 1) throw new TypeError(`invalid address ${address}`)
    return SILENT
  }
}

async function pass (clock: ManualClock, durationMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
    clock.advance(100)
    for (let turn = 0; turn < 10; turn++) await Promise.resolve()
  }
}

// Guards against a VM or worker that is never probed again, because one probe threw.
describe('A probe that throws', () => {
  it('is repeated for a VM', async () => {
    const clock = new ManualClock()
    const engines = new ThrowingProbe()
    const errors: unknown[] = []
    const prober = new Prober(clock, createRandom(1), engines as Pick<EngineApi, 'probe'>, DEFAULT_FLEET_TIMING, () => {}, (error) => { errors.push(error) })
    prober.start()
    prober.setTargets('watcher', [{ vm: 'v1', address: 'odd', intervalMs: DEFAULT_FLEET_TIMING.probeIntervalMs }])
    await pass(clock, DEFAULT_FLEET_TIMING.probeIntervalMs)
    prober.setTargets('watcher', [{ vm: 'v1', address: 'sound', intervalMs: DEFAULT_FLEET_TIMING.probeIntervalMs }])
    await pass(clock, 2 * PROBES * DEFAULT_FLEET_TIMING.probeIntervalMs)
    prober.stop()
    expect(errors).to.have.length(1)
    expect(engines.probed.filter((address) => address === 'sound')).to.have.length.greaterThan(PROBES)
  })

  it('is repeated for a worker of a service', async () => {
    const clock = new ManualClock()
    const services = new ThrowingProbe()
    const errors: unknown[] = []
    const options = { clock, random: createRandom(1), services: services as Pick<ServiceApi, 'probe'> } as unknown as FleetOptions
    const watcher = new ServiceWatcher(options, DEFAULT_FLEET_TIMING, () => {}, (error) => { errors.push(error) })
    const worker: VmRecord = { vm: 'w1', incarnation: 1, role: VmRole.Service, state: VmListState.Live, address: 'odd', region: 'r', failureDomain: 'f', fabricDomain: 'd', service: 's' }
    watcher.setWorkers([worker], new Set())
    await pass(clock, 2 * PROBES * DEFAULT_FLEET_TIMING.probeIntervalMs)
    watcher.stop()
    expect(errors).to.have.length(1)
    expect(services.probed).to.have.length.greaterThan(PROBES)
  })
})
