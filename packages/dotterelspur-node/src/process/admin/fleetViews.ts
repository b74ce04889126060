import { ASSIGNMENT_PREFIX, DRAIN_PREFIX, type AssignedGroup, type AssignmentObject, type GroupId, type MeshApi, type TeamId } from 'dotterelspur'

/** All assignments in this node's copy of the store. */
export function assignmentsOf (mesh: MeshApi): readonly AssignmentObject[] {
  return mesh.documents(ASSIGNMENT_PREFIX).filter((document) => !document.deleted).map((document) => document.body as AssignmentObject)
}

export function findGroup (mesh: MeshApi, group: GroupId): AssignedGroup | undefined {
  return assignmentsOf(mesh).flatMap((assignment) => assignment.groups).find((candidate) => candidate.group === group)
}

/** The team that a group belongs to; null when no assignment has the group. */
export function teamOfGroup (mesh: MeshApi, group: GroupId): TeamId | null {
  return findGroup(mesh, group)?.team ?? null
}

/** The targets of requested drains: VMs and groups by name, nodes as `node/<node>`. */
export function drainedTargets (mesh: MeshApi): ReadonlySet<string> {
  const keys = mesh.documents(DRAIN_PREFIX).filter((document) => !document.deleted).map((document) => document.key)
  return new Set(keys.map((key) => key.slice(DRAIN_PREFIX.length)))
}
