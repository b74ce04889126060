import {
  EndpointErrorKind, type LoadReport, type ServicePresence, type ServiceStatus, type Teardown, type VmId, type VmRecord
} from 'dotterelspur'
import type { FleetOptions } from './FleetOptions.js'
import type { FleetTiming } from './FleetTiming.js'

const NO_LOAD: LoadReport = { running: 0, waiting: 0, capacity: 0, cacheUsed: 0, ageMs: 0 }

interface WatchedWorker {
  record: VmRecord
  cancelTimer: Teardown
  status: ServiceStatus | null
  askedAtMs: number
  refused: boolean
}

/** Probes the service workers that this node watches. */
export class ServiceWatcher {
  private readonly workers = new Map<VmId, WatchedWorker>()
  private leaving: ReadonlySet<string> = new Set()

  constructor (
    private readonly options: FleetOptions, private readonly timing: FleetTiming, private readonly onDegraded: () => void, private readonly onError: (error: unknown) => void
  ) {}

  setWorkers (records: readonly VmRecord[], leaving: ReadonlySet<string>): void {
    this.leaving = leaving
    const wanted = new Map(records.map((record) => [record.vm, record]))
    for (const [vm, worker] of this.workers) {
      if (wanted.has(vm)) continue
      worker.cancelTimer()
      this.workers.delete(vm)
    }
    for (const record of wanted.values()) {
      const known = this.workers.get(record.vm)
      if (known !== undefined) known.record = record
      else this.addWorker(record)
    }
  }

  presence (): readonly ServicePresence[] {
    return [...this.workers.values()].map((worker) => this.assess(worker))
  }

  stop (): void {
    this.setWorkers([], this.leaving)
  }

  private addWorker (record: VmRecord): void {
    const worker: WatchedWorker = { record, cancelTimer: () => {}, status: null, askedAtMs: 0, refused: false }
    this.workers.set(record.vm, worker)
    this.schedule(worker, this.options.random.next() * this.timing.probeIntervalMs)
  }

  private schedule (worker: WatchedWorker, delayMs: number): void {
    worker.cancelTimer = this.options.clock.registerTimer(delayMs, () => { this.probe(worker).catch((error: unknown) => { this.noteProblem(worker, error) }) })
  }

  private noteProblem (worker: WatchedWorker, error: unknown): void {
    this.onError(error)
    if (this.workers.get(worker.record.vm) === worker) this.schedule(worker, this.timing.probeIntervalMs)
  }

  private async probe (worker: WatchedWorker): Promise<void> {
    const { clock, services } = this.options
    const askedAtMs = clock.nowMs()
    const before = this.assess(worker)
    const result = await services.probe(worker.record.address, this.timing.probeTimeoutMs)
    if (this.workers.get(worker.record.vm) !== worker) return
    if (result.ok) Object.assign(worker, { status: result.value, askedAtMs, refused: false })
    else if (result.error.kind === EndpointErrorKind.NotRun) worker.refused = true
    const after = this.assess(worker)
    if ((before.present && !after.present) || (!before.leaving && after.leaving)) this.onDegraded()
    const intervalMs = after.present ? this.timing.steadyProbeIntervalMs : this.timing.probeIntervalMs
    this.schedule(worker, Math.max(0, intervalMs - (clock.nowMs() - askedAtMs)))
  }

  private assess ({ record, status, askedAtMs, refused }: WatchedWorker): ServicePresence {
    const nowMs = this.options.clock.nowMs()
    const fresh = status !== null && !refused && nowMs - askedAtMs < this.timing.evidenceTtlMs
    const present = fresh && status.vm === record.vm && status.incarnation >= record.incarnation
    return {
      vm: record.vm,
      incarnation: status?.incarnation ?? record.incarnation,
      service: record.service ?? '',
      failureDomain: record.failureDomain,
      address: record.address,
      present,
      leaving: (status?.leaving ?? false) || this.leaving.has(record.vm),
      ageMs: present ? nowMs - askedAtMs : 0,
      load: status?.load ?? NO_LOAD
    }
  }
}
