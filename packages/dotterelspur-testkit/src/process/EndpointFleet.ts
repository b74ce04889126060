import { EngineState, VmRole, invariant } from 'dotterelspur'
import type { Clock, GroupMember, ServiceStatus, Teardown, VmId, VmRecord, VmStatus } from 'dotterelspur'
import { ExpectedAnswers } from '../request/ExpectedAnswers.js'
import { EngineVm } from './engine/EngineVm.js'
import type { FormOrder } from './engine/EngineVm.js'
import { registerEngineRoutes } from './engine/EngineRoutes.js'
import { DEFAULT_ENGINE_SETTINGS } from './engine/EngineSettings.js'
import type { EngineSettings, LoadRequester } from './engine/EngineSettings.js'
import { MemberCondition, combineMembers } from './engine/GroupHealth.js'
import type { MemberHealth } from './engine/GroupHealth.js'
import { Ledger } from './Ledger.js'
import { DEFAULT_SERVICE_SETTINGS, ServiceVm, registerServiceRoutes } from './service/ServiceVm.js'
import type { ServiceSettings } from './service/ServiceVm.js'
import { SystemClock } from 'dotterelspur-clock'
import { TimerSet } from './TimerSet.js'
import { VM_FAULT_HANDLERS } from './VmFaults.js'
import type { FaultTarget, VmFault } from './VmFaults.js'
import { VmHost, VmPower } from './VmHost.js'
import type { VmPlace } from './VmHost.js'
import { VmHttp } from './VmHttp.js'

export interface EndpointFleetOptions {
  readonly places: readonly VmPlace[]
  readonly engine?: Partial<EngineSettings>
  readonly service?: Partial<ServiceSettings>
  readonly requestLoad?: LoadRequester
  readonly clock?: Clock
  readonly seed?: number
}

/** State of a VM, as the VM itself reports it. */
export interface VmView {
  readonly vm: VmId
  readonly failureDomain: string
  readonly fabricDomain: string
  readonly group: string | null
  readonly formation: number
  readonly state: EngineState | VmPower
}

const INSTANT_LOAD: LoadRequester = () => 0

/** All endpoint VMs of a stand-in deployment in one process; each has its own listener. */
export class EndpointFleet {
  readonly ledger: Ledger
  readonly answers = new ExpectedAnswers()
  private readonly clock: Clock
  private readonly settings: EngineSettings
  private readonly serviceSettings: ServiceSettings
  private readonly hosts = new Map<VmId, VmHost>()
  private readonly engines = new Map<VmId, EngineVm>()
  private readonly services = new Map<VmId, ServiceVm>()
  private readonly listeners = new Set<() => void>()
  private readonly timers: TimerSet
  private readonly http: Readonly<Record<VmRole, VmHttp>> = { [VmRole.Engine]: new VmHttp(), [VmRole.Service]: new VmHttp() }
  private closed = false

  constructor (private readonly options: EndpointFleetOptions) {
    this.clock = options.clock ?? new SystemClock()
    this.settings = { ...DEFAULT_ENGINE_SETTINGS, ...options.engine }
    this.serviceSettings = { ...DEFAULT_SERVICE_SETTINGS, ...options.service }
    this.ledger = new Ledger(this.clock)
    this.timers = new TimerSet(this.clock)
    const engines = this.http[VmRole.Engine]
    registerEngineRoutes(engines, (request) => this.engine(engines.hostOf(request.raw).place.vm))
    const services = this.http[VmRole.Service]
    registerServiceRoutes(services, (request) => this.services.get(services.hostOf(request.raw).place.vm)!)
    for (const place of options.places) {
      this.hosts.set(place.vm, new VmHost(place, this.http[place.role].handle, () => { this.notify() }))
    }
  }

  async start (): Promise<void> {
    await Promise.all(Object.values(this.http).map((http) => http.ready()))
    await Promise.all([...this.hosts.values()].map((host) => this.boot(host)))
  }

  stop (): void {
    this.closed = true
    this.timers.close()
    for (const vm of this.hosts.keys()) this.kill(vm)
  }

  /** The current records of the platform's VM list. */
  records (): VmRecord[] {
    return [...this.hosts.values()].flatMap((host) => host.record() ?? [])
  }

  /** The listener runs after each change of `records`. */
  registerRecordsListener (listener: () => void): Teardown {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  views (): VmView[] {
    return [...this.hosts.values()].map((host) => this.view(host))
  }

  address (vm: VmId): string {
    const record = this.host(vm).record()
    invariant(record !== undefined, `${vm} is dead`)
    return record.address
  }

  status (vm: VmId): VmStatus | ServiceStatus | undefined {
    return this.engines.get(vm)?.status() ?? this.services.get(vm)?.status()
  }

  /** The member by which a Form order names the current incarnation of a VM. */
  member (vm: VmId): { readonly vm: VmId, readonly incarnation: number, readonly address: string } {
    return { vm, incarnation: this.host(vm).incarnation, address: this.address(vm) }
  }

  /** Number of requests that a paused VM's kernel has received and its process has not read. */
  bufferedRequests (vm: VmId): number {
    return this.host(vm).bufferedRequests
  }

  has (vm: VmId): boolean {
    return this.hosts.has(vm)
  }

  /** The VMs of a fabric domain. */
  fabricDomain (id: string): VmId[] {
    return [...this.hosts.values()].filter((host) => host.place.fabricDomain === id).map((host) => host.place.vm)
  }

  async fault (vm: VmId, fault: VmFault): Promise<void> {
    await VM_FAULT_HANDLERS[fault.kind](this.target(vm), fault)
  }

  async fabricFault (id: string, fault: VmFault): Promise<void> {
    await Promise.all(this.fabricDomain(id).map((vm) => this.fault(vm, fault)))
  }

  private target (vm: VmId): FaultTarget {
    const host = this.host(vm)
    return {
      host,
      kill: () => { this.kill(vm) },
      restart: async (awayMs) => { this.restart(host, awayMs ?? this.settings.restartMs) },
      leave: (afterMs) => {
        host.setLeaving(true)
        this.timers.after(afterMs ?? this.settings.leaveMs, () => { if (host.leaving) this.kill(vm) })
      },
      straggle: (stepMs) => { host.straggleMs = stepMs ?? this.settings.straggleMs }
    }
  }

  private restart (host: VmHost, awayMs: number): void {
    this.kill(host.place.vm)
    this.timers.after(awayMs, async () => {
      if (!this.closed && host.power === VmPower.Dead) await this.boot(host)
    })
  }

  private kill (vm: VmId): void {
    const host = this.host(vm)
    host.kill()
    this.engines.get(vm)?.die()
    this.engines.delete(vm)
    this.services.delete(vm)
  }

  private async boot (host: VmHost): Promise<void> {
    await host.start(() => { this.createProcess(host) })
  }

  private createProcess (host: VmHost): void {
    const { vm, role } = host.place
    if (role === VmRole.Service) {
      this.services.set(vm, new ServiceVm(host, this.serviceSettings, this.ledger))
      return
    }
    this.engines.set(vm, new EngineVm(host, {
      settings: this.settings,
      clock: this.clock,
      ledger: this.ledger,
      requestLoad: this.options.requestLoad ?? INSTANT_LOAD,
      seed: this.options.seed ?? 1,
      answers: this.answers,
      healthOf: (form) => combineMembers(form.members.map((member) => this.memberHealth(form, member)))
    }))
  }

  /** Whether a member of a formation answers over the fabric, and how slow it is. */
  private memberHealth (form: FormOrder, member: GroupMember): MemberHealth {
    const host = this.hosts.get(member.vm)
    const belongsTo = this.engines.get(member.vm)?.belongsTo(form, member) ?? false
    if (host === undefined || !belongsTo) return { condition: MemberCondition.Gone, straggleMs: 0 }
    const condition = host.power === VmPower.Paused ? MemberCondition.Silent : MemberCondition.Up
    return { condition, straggleMs: host.straggleMs }
  }

  private view (host: VmHost): VmView {
    const { vm, failureDomain, fabricDomain } = host.place
    const status = this.engines.get(vm)?.status()
    const state = host.power === VmPower.Up ? status?.state ?? (host.leaving ? EngineState.Leaving : EngineState.Ready) : host.power
    return { vm, failureDomain, fabricDomain, group: status?.group ?? null, formation: status?.formation ?? 0, state }
  }

  private host (vm: VmId): VmHost {
    const host = this.hosts.get(vm)
    invariant(host !== undefined, `no VM ${vm}`)
    return host
  }

  private engine (vm: VmId): EngineVm {
    const engine = this.engines.get(vm)
    invariant(engine !== undefined, `no engine runs on ${vm}`)
    return engine
  }

  private notify (): void {
    for (const listener of this.listeners) listener()
  }
}
