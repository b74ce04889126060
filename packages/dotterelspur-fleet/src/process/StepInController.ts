import {
  deriveOrders, deriveStepIn, groupAtStepIn, OrderKind, readStepIn, takesNewWork, type AssignedGroup, type AssignedMember, type AssignmentObject, type FailureDomainId,
  type LeaseTerm, type ObservedVm, type VmId
} from 'dotterelspur'
import { isGroupComplete } from '../version/VmHealthView.js'
import type { FleetContext } from './FleetContext.js'
import type { OrderAuthority } from './OrderSender.js'
import type { ProbeTarget } from './Prober.js'
import { Ticker } from './Ticker.js'

const REFUSALS_UNTIL_GONE = 2

export interface StepInSource {
  readonly term: LeaseTerm
  /** The assignments as this node's own last writes under that term left them. */
  readonly assignments: readonly AssignmentObject[]
}

/**
 * Goes on for a node whose lease ran out because the store is out: sends the orders of formations that the
 * assignments had agreed on in advance, and nothing else.
 *
 * What goes wrong without it: for as long as the store is out, a group that lost a member stays broken with a
 * loaded standby beside it. What could go wrong with it: this node alone is cut off, and another one decides. Its
 * orders carry the ended term's fencing number, so an engine that has seen the other's refuses them, and a single
 * refusal ends this; engines that don't check are never ordered; a pause ends it; and it waits until no node that
 * this one hears has had an answer from the store for a whole TTL. Which formation a number stands for follows from
 * the assignment, so no two nodes can mean different members by it (`StepIn`).
 */
export class StepInController {
  private readonly ticker: Ticker
  private readonly authority: OrderAuthority
  private stopped = false

  constructor (
    readonly failureDomain: FailureDomainId, private readonly source: StepInSource, private readonly context: FleetContext, onError: (error: unknown) => void
  ) {
    const { clock, random } = context.options
    this.ticker = new Ticker(clock, random, context.timing.controllerIntervalMs, () => { this.tick() }, onError)
    this.authority = { fencing: source.term.fencing, mayOrder: (vm) => this.mayAct() && this.checksFencing(vm), observeFencing: () => { this.stop() } }
  }

  get fencing (): number {
    return this.source.term.fencing
  }

  start (): void {
    this.ticker.start()
  }

  stop (): void {
    this.stopped = true
    this.ticker.stop()
    this.context.prober.setTargets(this.requester, [])
  }

  private get requester (): string {
    return `step-in/${this.failureDomain}`
  }

  private mayAct (): boolean {
    const { options: { mesh }, timing } = this.context
    return !this.stopped && mesh.storeContactAgeMs() >= timing.lease.ttlMs
  }

  private tick (): void {
    if (!this.mayAct()) return this.context.prober.setTargets(this.requester, [])
    const open = this.source.assignments.map((assignment) => ({ assignment, groups: assignment.groups.filter((group) => this.canStepIn(group)) }))
    this.context.prober.setTargets(this.requester, open.flatMap(({ groups }) => groups.flatMap((group) => this.targetsOf(group))))
    for (const { assignment, groups } of open) this.sendOrders(assignment, groups.flatMap((group) => this.targetFormation(group) ?? []))
  }

  private canStepIn (group: AssignedGroup): boolean {
    return group.stepInBase !== undefined && takesNewWork(group.state) && [...group.members, ...group.standbys].every(({ vm }) => this.checksFencing(vm))
  }

  private targetsOf (group: AssignedGroup): readonly ProbeTarget[] {
    const { timing } = this.context
    const complete = isGroupComplete(group, this.context.presence(), timing.evidenceTtlMs)
    const target = (intervalMs: number) => ({ vm, address }: AssignedMember): ProbeTarget => ({ vm, address, intervalMs })
    const members = group.members.map(target(complete ? timing.quietProbeIntervalMs : timing.probeIntervalMs))
    return [...members, ...group.standbys.map(target(timing.idleProbeIntervalMs))]
  }

  /** The group as it should stand now; undefined while it stands as agreed, or where nothing was agreed for it. */
  private targetFormation (group: AssignedGroup): AssignedGroup | undefined {
    const lost = new Set(group.members.filter((member) => this.isLost(member)).map((member) => member.vm))
    const started = this.startedFormation(group)
    const canContinue = started !== null && started.members.every((member) => !lost.has(member.vm))
    const derived = canContinue ? started : deriveStepIn(group, [...lost])
    if (derived === null || !derived.members.every((member) => this.isPresent(member))) return undefined
    return groupAtStepIn(group, derived)
  }

  /** A formation set aside in which some VM is already: it is completed, also when a lost member came back meanwhile. */
  private startedFormation (group: AssignedGroup): ReturnType<typeof readStepIn> {
    const formations = [...group.members, ...group.standbys].flatMap(({ vm }) => {
      const status = this.context.prober.observations.get(vm)?.evidence?.status
      return status?.group === group.group && status.formation !== group.formation ? [status.formation] : []
    })
    return formations.length === 0 ? null : readStepIn(group, Math.max(...formations))
  }

  private isLost (member: AssignedMember): boolean {
    const { prober, options: { clock }, timing } = this.context
    const observation = prober.observations.get(member.vm)
    if ((observation?.refusals ?? 0) >= REFUSALS_UNTIL_GONE && observation?.absentSinceMs !== null) return true
    if ((observation?.evidence?.status.incarnation ?? 0) > member.incarnation) return true
    const lastResponseAtMs = observation?.evidence?.askedAtMs ?? prober.firstProbedAtMs(member.vm)
    return lastResponseAtMs !== null && clock.nowMs() - lastResponseAtMs >= timing.quietProbeIntervalMs + timing.planning.absenceGraceMs
  }

  private isPresent ({ vm, incarnation }: AssignedMember): boolean {
    const observation = this.context.prober.observations.get(vm)
    return observation?.absentSinceMs === null && observation.evidence?.status.incarnation === incarnation
  }

  private sendOrders (assignment: AssignmentObject, groups: readonly AssignedGroup[]): void {
    if (groups.length === 0) return
    const observed = new Map<VmId, ObservedVm>()
    for (const { vm, address } of groups.flatMap((group) => group.members)) {
      const status = this.context.prober.observations.get(vm)?.evidence?.status
      if (status !== undefined) observed.set(vm, { address, status })
    }
    for (const due of deriveOrders({ ...assignment, groups }, observed)) {
      if (due.order.kind === OrderKind.Form) this.context.orders.send(due, this.authority)
    }
  }

  private checksFencing (vm: VmId): boolean {
    const { options: { checksFencing }, vmList } = this.context
    return checksFencing?.({ vm, fabricDomain: vmList.record(vm)?.fabricDomain ?? '', failureDomain: this.failureDomain }) ?? true
  }
}
