/**
 * Identifiers. Each is a string with a compile-time type tag, so that a VM id can't be passed where a group id is
 * expected, while literals and decoded JSON need no conversion.
 */

interface Flavor<Name extends string> {
  readonly __flavor?: Name
}

/** A region: a set of failure domains that are close to each other. */
export type RegionId = string & Flavor<'RegionId'>
/** A failure domain: a set of VMs that may fail together; it has one lease and one controller. */
export type FailureDomainId = string & Flavor<'FailureDomainId'>
/** A fabric domain: VMs of one failure domain that are connected by the fast fabric that a replica needs. */
export type FabricDomainId = string & Flavor<'FabricDomainId'>
/** An endpoint VM, by the name under which the platform lists it. */
export type VmId = string & Flavor<'VmId'>
/** A group of VMs that together hold one model replica. */
export type GroupId = string & Flavor<'GroupId'>
/** A node: one dotterelspur process on one entry VM. */
export type NodeId = string & Flavor<'NodeId'>
/** A team: the owner of one settings subtree. */
export type TeamId = string & Flavor<'TeamId'>
/** A model's name as used by callers. */
export type ModelId = string & Flavor<'ModelId'>
/** A version of a model. */
export type ModelVersion = string & Flavor<'ModelVersion'>
/** An adapter that is loaded in addition to a model. */
export type AdapterId = string & Flavor<'AdapterId'>
/** A plain service that the system routes to. */
export type ServiceId = string & Flavor<'ServiceId'>
/** A caller's request, unique in the system; see RequestIdentity for its format. */
export type RequestId = string & Flavor<'RequestId'>
/** `<node>.<incarnation>`: the only process that decides on a request id and keeps its outcome. */
export type HomeId = string & Flavor<'HomeId'>
/** A customer, who holds callers' keys. Not a team, which is an owner of settings. */
export type WorkspaceId = string & Flavor<'WorkspaceId'>
/** One incarnation of an endpoint VM's process; a restart creates a new one, perhaps at the same address. */
export type EndpointId = string & Flavor<'EndpointId'>
