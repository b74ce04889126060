import { OrderKind, type EngineOrder } from '../../connection/EngineApi.js'
import type { GroupId, VmId } from '../../process/ids.js'
import { EngineState, type LoadedModel, type VmStatus } from '../../process/Presence.js'
import { GroupState, type AssignedGroup, type AssignedMember, type AssignmentObject } from '../PlatformObjects.js'

/** An order that is due, with its recipient. */
export interface DueOrder {
  readonly vm: VmId
  readonly address: string
  readonly order: EngineOrder
  /** Why it is due, for the log and `explain`. */
  readonly cause: string
}

/** The controller's last observation of a VM of its fabric domain. */
export interface ObservedVm {
  readonly address: string
  readonly status: VmStatus
}

interface OrderContext {
  readonly assignment: AssignmentObject
  readonly observed: ReadonlyMap<VmId, ObservedVm>
}

type GroupOrders = (group: AssignedGroup, context: OrderContext) => DueOrder[]

const ORDERS_BY_STATE: Readonly<Record<GroupState, GroupOrders>> = {
  [GroupState.Forming]: formOrders,
  [GroupState.Serving]: formOrders,
  [GroupState.Draining]: drainOrders,
  [GroupState.Broken]: () => []
}

/**
 * Derives all due orders from the assignment and the status that the engines report. Level-triggered: the same difference
 * gives the same orders at each call, so a lost order is derived again, and a duplicate changes nothing. A VM that restarted
 * is no longer a member and gets no order for its former place.
 */
export function deriveOrders (assignment: AssignmentObject, observed: ReadonlyMap<VmId, ObservedVm>): DueOrder[] {
  const context = { assignment, observed }
  const groupOrders = assignment.groups.flatMap((group) => ORDERS_BY_STATE[group.state](group, context))
  const preloads = assignment.groups.flatMap((group) => preloadOrders(group, observed))
  return [...groupOrders, ...preloads, ...releaseOrders(context)]
}

function formOrders (group: AssignedGroup, { assignment, observed }: OrderContext): DueOrder[] {
  const due: DueOrder[] = []
  for (const [rank, member] of group.members.entries()) {
    const current = findObservedMember(member, observed)
    if (current === undefined || isInPlace(current.status, group)) continue
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

function isInPlace (status: VmStatus, group: AssignedGroup): boolean {
  const inPlace = status.group === group.group && status.formation === group.formation
  const working = status.state === EngineState.Ready || status.state === EngineState.Loading || status.state === EngineState.Leaving
  return inPlace && working
}

function drainOrder (vm: VmId, current: ObservedVm, group: GroupId): DueOrder {
  const order: EngineOrder = { kind: OrderKind.Drain, group, formation: current.status.formation }
  return { vm, address: current.address, order, cause: `${group} drains` }
}

function drainOrders (group: AssignedGroup, { observed }: OrderContext): DueOrder[] {
  const due: DueOrder[] = []
  for (const member of group.members) {
    const current = findObservedMember(member, observed)
    if (current === undefined || current.status.group !== group.group || current.status.state !== EngineState.Ready) continue
    due.push(drainOrder(member.vm, current, group.group))
  }
  return due
}

/** Preload orders: standbys load the revision that their group serves, and all VMs of a group with a `preload` load its next revision too. */
function preloadOrders (group: AssignedGroup, observed: ReadonlyMap<VmId, ObservedVm>): DueOrder[] {
  const { model, version, adapters, preload } = group
  const standbys = group.standbys.flatMap((standby) => preloadOrder(standby, { model, version, adapters }, `stands by for ${group.group}`, observed))
  if (preload === undefined) return standbys
  const next = { model, version: preload.version, adapters: preload.adapters }
  const ahead = [...group.members, ...group.standbys].flatMap((member) => preloadOrder(member, next, `${group.group} changes to version ${next.version}`, observed))
  return [...standbys, ...ahead]
}

function preloadOrder (member: AssignedMember, wanted: LoadedModel, cause: string, observed: ReadonlyMap<VmId, ObservedVm>): DueOrder[] {
  const current = findObservedMember(member, observed)
  if (current === undefined || current.status.state === EngineState.Loading || isLoaded(current.status, wanted)) return []
  const order: EngineOrder = { kind: OrderKind.Preload, ...wanted }
  return [{ vm: member.vm, address: current.address, order, cause }]
}

/** An engine that does not report its loaded models is assumed to hold the one that it serves. */
function isLoaded (status: VmStatus, wanted: LoadedModel): boolean {
  const held = status.loaded ?? (status.model === null || status.version === null ? [] : [{ model: status.model, version: status.version, adapters: status.adapters }])
  return held.some((loaded) => loaded.model === wanted.model && loaded.version === wanted.version && wanted.adapters.every((adapter) => loaded.adapters.includes(adapter)))
}

/** Release orders for engines that report a group although this incarnation of their VM is a member of none. */
function releaseOrders ({ assignment, observed }: OrderContext): DueOrder[] {
  const places = new Map(assignment.groups.flatMap((group) => group.members).map((member) => [member.vm, member.incarnation]))
  const due: DueOrder[] = []
  for (const [vm, { address, status }] of observed) {
    if (status.group === null || places.get(vm) === status.incarnation) continue
    const order: EngineOrder = { kind: OrderKind.Release, group: status.group, formation: status.formation }
    due.push({ vm, address, order, cause: `has no place in ${status.group}` })
  }
  return due
}

function findObservedMember (member: AssignedMember, observed: ReadonlyMap<VmId, ObservedVm>): ObservedVm | undefined {
  const current = observed.get(member.vm)
  return current?.status.incarnation === member.incarnation ? current : undefined
}
