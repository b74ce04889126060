import { ASSIGNMENT_PREFIX, DRAIN_PREFIX, type AssignedGroup, type AssignmentObject, type GroupId, type MeshApi, type TeamId } from 'dotterelspur'

/** All assignments that this node holds. */
export function assignmentsOf (mesh: MeshApi): readonly AssignmentObject[] {
  return mesh.documents(ASSIGNMENT_PREFIX).filter((document) => !document.deleted).map((document) => document.body as AssignmentObject)
}

export function findGroup (mesh: MeshApi, group: GroupId): AssignedGroup | undefined {
  return assignmentsOf(mesh).flatMap((assignment) => assignment.groups).find((candidate) => candidate.group === group)
}

/** Whose group it is; null when it is in no assignment. */
export function teamOfGroup (mesh: MeshApi, group: GroupId): TeamId | null {
  return findGroup(mesh, group)?.team ?? null
}

/** What operators ask to take no new work: VMs and groups by their names, nodes as `node/<node>`. */
export function drainedTargets (mesh: MeshApi): ReadonlySet<string> {
  const keys = mesh.documents(DRAIN_PREFIX).filter((document) => !document.deleted).map((document) => document.key)
  return new Set(keys.map((key) => key.slice(DRAIN_PREFIX.length)))
}
