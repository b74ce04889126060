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
  /** The assignments as this node last wrote them under that term. */
  readonly assignments: readonly AssignmentObject[]
}

/**
 * Lets standbys step in after this node's lease has expired during a store outage: sends the orders of the reserved
 * formations in its assignments, and nothing else.
 *
 * Without it, a group that lost a member would stay broken for the whole outage although it has a loaded standby. The
 * risk is that only this node is cut off and another node holds the lease by now. Several rules keep the two from
 * conflicting. The orders carry the expired term's fencing number, so an engine that has received the other node's number
 * refuses them, and a single refusal stops this controller. Engines that don't check fencing numbers get no orders. A
 * pause stops this controller. It does nothing until neither this node nor any node that it can hear has reached the
 * store for a whole TTL. The members of a formation number follow from the assignment, so two nodes can't form different
 * members under the same number (`StepIn`).
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

  /** The group at the reserved formation that is to be formed or completed now; undefined if none applies or one of its members isn't present. */
  private targetFormation (group: AssignedGroup): AssignedGroup | undefined {
    const lost = new Set(group.members.filter((member) => this.isLost(member)).map((member) => member.vm))
    const started = this.startedFormation(group)
    const canContinue = started !== null && started.members.every((member) => !lost.has(member.vm))
    const derived = canContinue ? started : deriveStepIn(group, [...lost])
    if (derived === null || !derived.members.every((member) => this.isPresent(member))) return undefined
    return groupAtStepIn(group, derived)
  }

  /** A reserved formation that some VM has already joined. It is completed even if a lost member has come back meanwhile. */
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
