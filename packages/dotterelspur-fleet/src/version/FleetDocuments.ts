import {
  ASSIGNMENT_PREFIX, DRAIN_PREFIX, VM_LIST_PREFIX, type AssignmentObject, type FabricDomainId, type MeshApi, type VmId, type VmListDocument
} from 'dotterelspur'

/** An assignment from the mesh, with its version in the platform's store. */
export interface AssignmentDocument {
  readonly version: number
  readonly body: AssignmentObject
}

export function assignmentDocuments (mesh: MeshApi): readonly AssignmentDocument[] {
  return mesh.documents(ASSIGNMENT_PREFIX)
    .filter((document) => !document.deleted)
    .map((document) => ({ version: document.version, body: document.body as AssignmentObject }))
}

export function vmListDocuments (mesh: MeshApi): readonly VmListDocument[] {
  return mesh.documents(VM_LIST_PREFIX).filter((document) => !document.deleted).map((document) => document.body as VmListDocument)
}

/** The VMs and groups that operators are draining. */
export function drainTargets (mesh: MeshApi): ReadonlySet<string> {
  const drains = mesh.documents(DRAIN_PREFIX).filter((document) => !document.deleted)
  return new Set(drains.map((document) => document.key.slice(DRAIN_PREFIX.length)))
}

/** The VMs in other fabric domains' assignments. They must not be assigned here until they are removed from there. */
export function vmsAssignedElsewhere (mesh: MeshApi, fabricDomain: FabricDomainId): ReadonlySet<VmId> {
  const others = assignmentDocuments(mesh).filter(({ body }) => body.fabricDomain !== fabricDomain)
  return new Set(others.flatMap(({ body }) => body.groups).flatMap((group) => [...group.members, ...group.standbys]).map(({ vm }) => vm))
}
