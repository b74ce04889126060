import { OrderKind, type EngineOrder } from '../../connection/EngineApi.js'
import type { GroupId, VmId } from '../../process/ids.js'
import { EngineState, type VmStatus } from '../../process/Presence.js'
import { GroupState, type AssignedGroup, type AssignedMember, type AssignmentObject } from '../PlatformObjects.js'

/** An order that is due, and to whom. */
export interface DueOrder {
  readonly vm: VmId
  readonly address: string
  readonly order: EngineOrder
  /** Why it is due, for the log and `explain`. */
  readonly cause: string
}

/** A VM of the fabric domain as the controller last saw it. */
export interface ObservedVm {
  readonly address: string
  readonly status: VmStatus
}

/**
 * A planned change of a group that was whole: what its old formation runs is finished before any of its VMs is
 * taken out of it, since a replica that loses one VM loses all that it runs.
 */
export interface PlannedReform {
  /** Every VM of the old formation has been looked at since the change, so that it is known what still runs. */
  readonly allSeen: boolean
}

export type PlannedReforms = ReadonlyMap<GroupId, PlannedReform>

interface OrderContext {
  readonly assignment: AssignmentObject
  readonly seen: ReadonlyMap<VmId, ObservedVm>
  readonly reforms: PlannedReforms
  /** Formations in which some VM says that requests run. */
  readonly busy: ReadonlySet<string>
}

type GroupOrders = (group: AssignedGroup, context: OrderContext) => DueOrder[]

const ORDERS_BY_STATE: Readonly<Record<GroupState, GroupOrders>> = {
  [GroupState.Forming]: formOrders,
  [GroupState.Serving]: formOrders,
  [GroupState.Draining]: drainOrders,
  [GroupState.Broken]: () => []
}

/**
 * Derives every order that is due from what is assigned and what the engines say they run. It is level-triggered:
 * the same difference gives the same orders at each call, so a lost order is made again and a late one repeats
 * what stands. A VM that restarted is no member any more and gets no order for its old place.
 */
export function deriveOrders (assignment: AssignmentObject, seen: ReadonlyMap<VmId, ObservedVm>, reforms: PlannedReforms = new Map()): DueOrder[] {
  const context = { assignment, seen, reforms, busy: busyFormations(seen) }
  const placed = assignment.groups.flatMap((group) => ORDERS_BY_STATE[group.state](group, context))
  const preloads = assignment.groups.flatMap((group) => preloadOrders(group, seen))
  return [...placed, ...preloads, ...releaseOrders(context)]
}

function busyFormations (seen: ReadonlyMap<VmId, ObservedVm>): ReadonlySet<string> {
  const busy = [...seen.values()].filter(({ status }) => status.group !== null && status.load.running + status.load.waiting > 0)
  return new Set(busy.map(({ status }) => formationKey(status)))
}

function formationKey (status: VmStatus): string {
  return `${status.group}/${status.formation}`
}

/**
 * The order that takes a VM out of its present formation, or the one that has to come before it: while the
 * formation is under a planned change, the VM first drains and then waits for the last request of the formation.
 */
function leaveOrders (vm: VmId, current: ObservedVm, { reforms, busy }: OrderContext, next: DueOrder): DueOrder[] {
  const { status } = current
  const reform = status.group === null ? undefined : reforms.get(status.group)
  if (reform === undefined) return [next]
  if (status.state === EngineState.Ready) return [drainOrder(vm, current, status.group!)]
  return reform.allSeen && !busy.has(formationKey(status)) ? [next] : []
}

function formOrders (group: AssignedGroup, context: OrderContext): DueOrder[] {
  const { assignment, seen } = context
  const due: DueOrder[] = []
  for (const [rank, member] of group.members.entries()) {
    const current = sameIncarnation(member, seen)
    if (current === undefined || holdsPlace(current.status, group)) continue
    const order: EngineOrder = {
      kind: OrderKind.Form,
      group: group.group,
      formation: group.formation,
      fabricDomain: assignment.fabricDomain,
      rank,
      members: group.members,
      model: group.model,
      version: group.version,
      adapters: group.adapters
    }
    const form = { vm: member.vm, address: current.address, order, cause: `is not at formation ${group.formation} of ${group.group}` }
    due.push(...leaveOrders(member.vm, current, context, form))
  }
  return due
}

function holdsPlace (status: VmStatus, group: AssignedGroup): boolean {
  const inPlace = status.group === group.group && status.formation === group.formation
  const working = status.state === EngineState.Ready || status.state === EngineState.Loading || status.state === EngineState.Leaving
  return inPlace && working
}

function drainOrder (vm: VmId, current: ObservedVm, group: GroupId): DueOrder {
  const order: EngineOrder = { kind: OrderKind.Drain, group, formation: current.status.formation }
  return { vm, address: current.address, order, cause: `${group} drains` }
}

function drainOrders (group: AssignedGroup, { seen }: OrderContext): DueOrder[] {
  const due: DueOrder[] = []
  for (const member of group.members) {
    const current = sameIncarnation(member, seen)
    if (current === undefined || current.status.group !== group.group || current.status.state !== EngineState.Ready) continue
    due.push(drainOrder(member.vm, current, group.group))
  }
  return due
}

function preloadOrders (group: AssignedGroup, seen: ReadonlyMap<VmId, ObservedVm>): DueOrder[] {
  const due: DueOrder[] = []
  for (const standby of group.standbys) {
    const current = sameIncarnation(standby, seen)
    if (current === undefined || isLoaded(current.status, group) || current.status.state === EngineState.Loading) continue
    const order: EngineOrder = { kind: OrderKind.Preload, model: group.model, version: group.version, adapters: group.adapters }
    due.push({ vm: standby.vm, address: current.address, order, cause: `stands by for ${group.group}` })
  }
  return due
}

function isLoaded (status: VmStatus, group: AssignedGroup): boolean {
  return status.model === group.model && status.version === group.version
}

/** An engine that says it is in a group must leave it when this incarnation of its VM has no place in any. */
function releaseOrders (context: OrderContext): DueOrder[] {
  const { assignment, seen } = context
  const places = new Map(assignment.groups.flatMap((group) => group.members).map((member) => [member.vm, member.incarnation]))
  const due: DueOrder[] = []
  for (const [vm, current] of seen) {
    const { address, status } = current
    if (status.group === null || places.get(vm) === status.incarnation) continue
    const order: EngineOrder = { kind: OrderKind.Release, group: status.group, formation: status.formation }
    due.push(...leaveOrders(vm, current, context, { vm, address, order, cause: `has no place in ${status.group}` }))
  }
  return due
}

function sameIncarnation (member: AssignedMember, seen: ReadonlyMap<VmId, ObservedVm>): ObservedVm | undefined {
  const current = seen.get(member.vm)
  return current?.status.incarnation === member.incarnation ? current : undefined
}
