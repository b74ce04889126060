import type { DomainOptions } from './DomainModel.js'
import { DomainModel } from './DomainModel.js'
import type { Fault } from './FaultTrace.js'
import { FaultKind, REPLACEMENT_NOTICE_MS, traceFaults } from './FaultTrace.js'
import { DAY_MS, HOUR_MS, MINUTE_MS, SECOND_MS } from './Scenario.js'
import type { FaultRates, Scenario } from './Scenario.js'

/** Totals of one run, per day of the whole fleet that the scenario describes. */
export interface RepairTotals {
  readonly groupDowntimeHours: number
  readonly strandedAcceleratorHours: number
  /** What no policy could have avoided: VMs that were down, and those that are left over from whole groups. */
  readonly leastDowntimeHours: number
  readonly leastStrandedHours: number
  readonly formations: number
  readonly moves: number
  readonly loads: number
}

export interface RepairRunOptions extends Omit<DomainOptions, 'scenario'> {
  readonly scenario: Scenario
  readonly rates: FaultRates
  /** Days of one fabric domain; the totals are scaled to the fleet. */
  readonly domainDays: number
  readonly seed: number
}

/** Days of one fabric domain before counting begins: groups have formed, standbys are loaded. */
const WARM_UP_MS = HOUR_MS
const LONGEST_RUN_DAYS = 100
const SHORTEST_TICK_MS = SECOND_MS
const LONGEST_TICK_MS = MINUTE_MS
/** A situation that has lasted is looked at less often: every twentieth of its age. */
const TICK_PART = 20

/** Runs a policy over a seeded trace of faults and adds up what was lost. Fabric domains are independent, so days of several run one after the other. */
export function runRepair (options: RepairRunOptions): RepairTotals {
  const parts: RepairTotals[] = []
  for (let start = 0; start < options.domainDays; start += LONGEST_RUN_DAYS) {
    const days = Math.min(LONGEST_RUN_DAYS, options.domainDays - start)
    parts.push(new DomainRun(options, days, options.seed * 1_000 + parts.length).run())
  }
  const scale = options.scenario.fabricDomains / options.domainDays
  return sumTotals(parts, scale)
}

function sumTotals (parts: readonly RepairTotals[], scale: number): RepairTotals {
  const sum = (read: (totals: RepairTotals) => number): number => parts.reduce((total, part) => total + read(part), 0) * scale
  return {
    groupDowntimeHours: sum((part) => part.groupDowntimeHours),
    strandedAcceleratorHours: sum((part) => part.strandedAcceleratorHours),
    leastDowntimeHours: sum((part) => part.leastDowntimeHours),
    leastStrandedHours: sum((part) => part.leastStrandedHours),
    formations: sum((part) => part.formations),
    moves: sum((part) => part.moves),
    loads: sum((part) => part.loads)
  }
}

interface Pending {
  readonly atMs: number
  apply (): void
}

class DomainRun {
  private readonly domain: DomainModel
  private readonly pending: Pending[] = []
  private readonly endMs: number
  private nowMs = 0
  private lastEventMs = 0
  private unsettled = true
  private downtimeMs = 0
  private strandedMs = 0
  private leastDowntimeMs = 0
  private leastStrandedMs = 0
  private formationsBefore = 0
  private movesBefore = 0
  private loadsBefore = 0

  constructor (private readonly options: RepairRunOptions, days: number, seed: number) {
    this.domain = new DomainModel(options)
    this.endMs = WARM_UP_MS + days * DAY_MS
    for (const fault of traceFaults(options.scenario, options.rates, days, seed)) this.schedule(fault.atMs + WARM_UP_MS, () => this.strike(fault))
    this.schedule(WARM_UP_MS, () => this.startCounting())
  }

  run (): RepairTotals {
    while (this.nowMs < this.endMs) {
      this.applyDue()
      this.unsettled = this.domain.tick(this.nowMs)
      const nextMs = Math.min(this.endMs, this.nextTimeMs())
      this.count(nextMs - this.nowMs)
      this.nowMs = nextMs
    }
    return {
      groupDowntimeHours: this.downtimeMs / HOUR_MS,
      strandedAcceleratorHours: this.strandedMs / HOUR_MS,
      leastDowntimeHours: this.leastDowntimeMs / HOUR_MS,
      leastStrandedHours: this.leastStrandedMs / HOUR_MS,
      formations: this.domain.formations - this.formationsBefore,
      moves: this.domain.moves - this.movesBefore,
      loads: this.domain.store.started - this.loadsBefore
    }
  }

  private schedule (atMs: number, apply: () => void): void {
    const index = this.pending.findLastIndex((other) => other.atMs <= atMs)
    this.pending.splice(index + 1, 0, { atMs, apply })
  }

  private applyDue (): void {
    while (this.pending[0] !== undefined && this.pending[0].atMs <= this.nowMs) {
      this.lastEventMs = this.nowMs
      this.pending.shift()!.apply()
    }
  }

  /** Whatever changes by itself next; while something is unsettled or has just happened, the next tick. */
  private nextTimeMs (): number {
    const ageMs = this.nowMs - this.lastEventMs
    const tickMs = Math.min(LONGEST_TICK_MS, Math.max(SHORTEST_TICK_MS, ageMs / TICK_PART))
    const soon = this.unsettled || ageMs < MINUTE_MS ? this.nowMs + tickMs : Infinity
    const changes = this.domain.vms.map((vm) => vm.nextChangeMs(this.nowMs))
    return Math.min(soon, this.pending[0]?.atMs ?? Infinity, ...changes)
  }

  private startCounting (): void {
    this.downtimeMs = this.strandedMs = this.leastDowntimeMs = this.leastStrandedMs = 0
    this.formationsBefore = this.domain.formations
    this.movesBefore = this.domain.moves
    this.loadsBefore = this.domain.store.started
  }

  private count (spanMs: number): void {
    const { vmsPerGroup, replicas } = this.options.scenario
    const { up, serving } = this.domain.state(this.nowMs)
    const possible = Math.min(replicas, Math.floor(up / vmsPerGroup))
    this.downtimeMs += Math.max(0, replicas - serving) * spanMs
    this.strandedMs += (up - serving * vmsPerGroup) * spanMs
    this.leastDowntimeMs += (replicas - possible) * spanMs
    this.leastStrandedMs += (up - possible * vmsPerGroup) * spanMs
  }

  private strike (fault: Fault): void {
    STRIKES[fault.kind](this, fault)
  }

  /** Goes silent for a while, and comes back as the same process or as another. */
  takeDown (index: number, durationMs: number, restarts: boolean): void {
    const vm = this.domain.vms[index]!
    const untilMs = this.nowMs + durationMs
    vm.goDown(this.nowMs, untilMs)
    if (restarts) this.schedule(untilMs, () => vm.restart())
    else this.schedule(untilMs, () => {})
  }

  takeAllDown ({ durationMs, restarts }: Fault): void {
    for (const index of this.domain.vms.keys()) this.takeDown(index, durationMs, restarts)
  }

  announce ({ vm, durationMs }: Fault): void {
    this.domain.vms[vm]!.leaving = true
    this.schedule(this.nowMs + REPLACEMENT_NOTICE_MS, () => this.takeDown(vm, durationMs, true))
  }

  slowDown ({ vm, durationMs }: Fault): void {
    this.domain.vms[vm]!.straggling = true
    this.schedule(this.nowMs + durationMs, () => { this.domain.vms[vm]!.straggling = false })
  }

  cutStore ({ durationMs }: Fault): void {
    this.domain.storeOutUntilMs = this.nowMs + durationMs
    this.schedule(this.nowMs + durationMs, () => {})
  }
}

type Strike = (run: DomainRun, fault: Fault) => void

const STRIKES: Readonly<Record<FaultKind, Strike>> = {
  [FaultKind.Failure]: (run, fault) => run.takeDown(fault.vm, fault.durationMs, true),
  [FaultKind.Restart]: (run, fault) => run.takeDown(fault.vm, fault.durationMs, true),
  [FaultKind.Replacement]: (run, fault) => run.announce(fault),
  [FaultKind.Pause]: (run, fault) => run.takeDown(fault.vm, fault.durationMs, false),
  [FaultKind.Straggler]: (run, fault) => run.slowDown(fault),
  [FaultKind.RackLoss]: (run, fault) => run.takeAllDown(fault),
  [FaultKind.FailureDomainLoss]: (run, fault) => run.takeAllDown(fault),
  [FaultKind.StoreOutage]: (run, fault) => run.cutStore(fault)
}
