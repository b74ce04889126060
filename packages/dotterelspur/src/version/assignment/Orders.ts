import { OrderKind, type EngineOrder } from '../../connection/EngineApi.js'
import type { VmId } from '../../process/ids.js'
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

type GroupOrders = (group: AssignedGroup, assignment: AssignmentObject, seen: ReadonlyMap<VmId, ObservedVm>) => DueOrder[]

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
export function deriveOrders (assignment: AssignmentObject, seen: ReadonlyMap<VmId, ObservedVm>): DueOrder[] {
  const placed = assignment.groups.flatMap((group) => ORDERS_BY_STATE[group.state](group, assignment, seen))
  const preloads = assignment.groups.flatMap((group) => preloadOrders(group, seen))
  return [...placed, ...preloads, ...releaseOrders(assignment, seen)]
}

function formOrders (group: AssignedGroup, assignment: AssignmentObject, seen: ReadonlyMap<VmId, ObservedVm>): DueOrder[] {
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
    due.push({ vm: member.vm, address: current.address, order, cause: `is not at formation ${group.formation} of ${group.group}` })
  }
  return due
}

function holdsPlace (status: VmStatus, group: AssignedGroup): boolean {
  const inPlace = status.group === group.group && status.formation === group.formation
  const working = status.state === EngineState.Ready || status.state === EngineState.Loading || status.state === EngineState.Leaving
  return inPlace && working
}

function drainOrders (group: AssignedGroup, _assignment: AssignmentObject, seen: ReadonlyMap<VmId, ObservedVm>): DueOrder[] {
  const due: DueOrder[] = []
  for (const member of group.members) {
    const current = sameIncarnation(member, seen)
    if (current === undefined || current.status.group !== group.group || current.status.state !== EngineState.Ready) continue
    const order: EngineOrder = { kind: OrderKind.Drain, group: group.group, formation: current.status.formation }
    due.push({ vm: member.vm, address: current.address, order, cause: `${group.group} drains` })
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
function releaseOrders (assignment: AssignmentObject, seen: ReadonlyMap<VmId, ObservedVm>): DueOrder[] {
  const places = new Map(assignment.groups.flatMap((group) => group.members).map((member) => [member.vm, member.incarnation]))
  const due: DueOrder[] = []
  for (const [vm, { address, status }] of seen) {
    if (status.group === null || places.get(vm) === status.incarnation) continue
    const order: EngineOrder = { kind: OrderKind.Release, group: status.group, formation: status.formation }
    due.push({ vm, address, order, cause: `has no place in ${status.group}` })
  }
  return due
}

function sameIncarnation (member: AssignedMember, seen: ReadonlyMap<VmId, ObservedVm>): ObservedVm | undefined {
  const current = seen.get(member.vm)
  return current?.status.incarnation === member.incarnation ? current : undefined
}
