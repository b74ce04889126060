import {
  NodeState, rendezvousOrder, VmListState, VmRole, type AssignedGroup, type AssignmentObject, type NodeId, type NodeMember, type RegionId, type VmId,
  type VmListDocument, type VmRecord
} from 'dotterelspur'

/** Watchers of each group and of each service worker: one may be slow, cut off or replaced without a gap in the evidence. */
export const WATCHERS_PER_SUBJECT = 2

export interface WatchedGroup {
  readonly assignment: AssignmentObject
  readonly group: AssignedGroup
}

/** The groups and service workers that one node watches. */
export interface WatchPlan {
  readonly groups: readonly WatchedGroup[]
  readonly services: readonly VmRecord[]
}

export interface WatchPlanInput {
  readonly self: NodeMember
  readonly members: readonly NodeMember[]
  readonly assignments: readonly AssignmentObject[]
  readonly vmLists: readonly VmListDocument[]
}

/**
 * Chooses the groups and service workers that this node watches, by rendezvous hashing over the living nodes of their
 * region, so that all nodes agree without exchanging messages. The VMs of one group have the same watchers, since only
 * a watcher of all members can tell that the group is complete.
 */
export function planWatches (input: WatchPlanInput): WatchPlan {
  const watchersByRegion = new Map<RegionId, readonly NodeId[]>()
  const isWatchedBySelf = (key: string, region: RegionId): boolean => {
    const nodes = watchersByRegion.get(region) ?? eligibleWatchers(input, region)
    watchersByRegion.set(region, nodes)
    return rendezvousOrder(key, nodes).slice(0, WATCHERS_PER_SUBJECT).includes(input.self.node)
  }
  const groups = input.assignments.flatMap((assignment) => assignment.groups
    .filter((group) => isWatchedBySelf(`group/${group.group}`, assignment.region))
    .map((group) => ({ assignment, group })))
  const services = input.vmLists
    .flatMap((list) => list.vms)
    .filter((record) => record.role === VmRole.Service && isWatchedBySelf(`vm/${record.vm}`, record.region))
  return { groups, services }
}

/**
 * The nodes that may watch a region's VMs. A draining node includes itself until it stops, while the other nodes already
 * leave it out, so that a draining node causes an extra watcher for a while and never a missing one. A region without
 * nodes of its own is watched by the nodes of all other regions.
 */
function eligibleWatchers (input: WatchPlanInput, region: RegionId): readonly NodeId[] {
  const eligible = input.members.filter((member) => isEligible(member) || member.node === input.self.node)
  const inside = eligible.filter((member) => member.region === region)
  return (inside.length > 0 ? inside : eligible).map((member) => member.node)
}

function isEligible (member: NodeMember): boolean {
  return member.state === NodeState.Alive || member.state === NodeState.Suspect
}

/** The VMs that the platform's list marks as leaving. */
export function leavingVms (vmLists: readonly VmListDocument[]): ReadonlySet<VmId> {
  const leaving = vmLists.flatMap((list) => list.vms).filter((record) => record.state === VmListState.Leaving)
  return new Set(leaving.map((record) => record.vm))
}
