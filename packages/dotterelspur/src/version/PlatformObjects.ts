import type { AdapterId, FabricDomainId, FailureDomainId, GroupId, ModelId, ModelVersion, NodeId, RegionId, ServiceId, TeamId, VmId, WorkspaceId } from '../process/ids.js'
import type { VmRecord } from '../process/VmRecord.js'

/**
 * Base of the objects that the system stores in the platform. Every write carries a unique `writeToken`, so that a write
 * whose response was lost can be recognised when the object is read back.
 */
export interface WithWriteToken {
  readonly writeToken: string
}

export const TEAM_PREFIX = 'teams/'
export const LEASE_PREFIX = 'leases/'
export const ASSIGNMENT_PREFIX = 'assignments/'
export const NODE_PREFIX = 'nodes/'
export const CLAIM_PREFIX = 'claims/'
export const QUARANTINE_PREFIX = 'quarantine/'
export const AUDIT_PREFIX = 'audit/'
export const STATUS_PREFIX = 'status/'
export const DRAIN_PREFIX = 'drains/'
/** Drains of nodes have a prefix of their own, because a node may have the same name as a VM or group. */
export const NODE_DRAIN_PREFIX = 'drains/node/'
/** Prefix of the VM list documents, which are not platform objects: a controller distributes its failure domain's VM list over the mesh. */
export const VM_LIST_PREFIX = 'vms/'

export function leaseKey (failureDomain: FailureDomainId): string {
  return `${LEASE_PREFIX}${failureDomain}`
}

export function assignmentKey (fabricDomain: FabricDomainId): string {
  return `${ASSIGNMENT_PREFIX}${fabricDomain}`
}

export function vmListKey (failureDomain: FailureDomainId): string {
  return `${VM_LIST_PREFIX}${failureDomain}`
}

/**
 * `vms/<failureDomain>`, distributed only over the mesh, with the version of the platform's list: the VMs of one failure
 * domain as its controller last read them. One node per failure domain reads the platform's list; all others get addresses
 * and leaving VMs from this document.
 */
export interface VmListDocument {
  readonly failureDomain: FailureDomainId
  readonly vms: readonly VmRecord[]
}

/** `teams/<team>`: the INI text as the operator wrote it. It is stored unparsed, so that the text is preserved. */
export interface TeamObject extends WithWriteToken {
  readonly team: TeamId
  readonly text: string
  /** Operator's name, for the audit log. */
  readonly appliedBy: string
  readonly appliedAtWallMs: number
  /**
   * Identifies the operator's change, and is the same in all its retries, so that a change whose response was lost can be
   * recognised. `writeToken` identifies only one write of the store's client.
   */
  readonly changeToken?: string
}

/** `leases/<failureDomain>`. */
export interface LeaseObject extends WithWriteToken {
  readonly failureDomain: FailureDomainId
  readonly holder: NodeId
  readonly holderIncarnation: number
  /** Increases at each takeover and never decreases. */
  readonly fencing: number
  readonly ttlMs: number
  /** Increases with each write of the holder, so that it can distinguish its own writes whose responses were lost. */
  readonly renewal: number
  /** The holder has released the lease: any node may take it at once. */
  readonly released: boolean
}

export enum GroupState {
  /** Members load weights and join. */
  Forming = 'forming',
  /** May serve while its presence evidence is complete and fresh. */
  Serving = 'serving',
  /** Finishes its running requests; is then dissolved or formed again. */
  Draining = 'draining',
  /** A member is lost or failed; serves no requests until repaired. */
  Broken = 'broken'
}

export interface AssignedMember {
  readonly vm: VmId
  /** A VM that restarted is not this member any more: its former incarnation counts as lost. */
  readonly incarnation: number
  readonly address: string
}

export interface AssignedGroup {
  readonly group: GroupId
  /** Formation number; increases at each change of members, model, version or adapters. */
  readonly formation: number
  readonly state: GroupState
  readonly team: TeamId
  readonly model: ModelId
  readonly version: ModelVersion
  readonly adapters: readonly AdapterId[]
  /** In rank order; rank 0 is the leader. */
  readonly members: readonly AssignedMember[]
  /** Standbys in the order in which they replace lost members. */
  readonly standbys: readonly AssignedMember[]
  /**
   * First of the formation numbers reserved for standbys that replace lost members without a write to the store. New numbers
   * are reserved after each change of members or standbys. See `DerivedFormation`.
   */
  readonly stepInBase?: number
  /** Revision that the members load while they serve the current one, before a change of version; the formation number does not change. */
  readonly preload?: ModelRevision
  /** Why the group is in this state, for `explain`. */
  readonly cause: string
  readonly sinceWallMs: number
}

/**
 * `assignments/<fabricDomain>`: the authoritative assignment of VMs to groups. There is one object per fabric domain, changed
 * by conditional updates, so that no VM can be in two groups.
 */
export interface AssignmentObject extends WithWriteToken {
  readonly fabricDomain: FabricDomainId
  readonly failureDomain: FailureDomainId
  readonly region: RegionId
  /** Fencing number of the lease under which it was written; never decreases. */
  readonly fencing: number
  readonly groups: readonly AssignedGroup[]
  /**
   * Highest formation number ever assigned in this fabric domain. Each new formation gets the next one, so that group ids
   * derived from it are unique and late evidence of a dissolved group matches no other group.
   */
  readonly highestFormation?: number
  /** Rollouts in progress or halted, recorded by this fabric domain's controller. */
  readonly rollouts?: readonly RolloutRecord[]
}

export enum RolloutPhase {
  Running = 'running',
  /** Stopped by its health check; groups are rolled back to the previous version. */
  Halted = 'halted'
}

/** A model version with its adapters; a rollout changes both together. */
export interface ModelRevision {
  readonly version: ModelVersion
  readonly adapters: readonly AdapterId[]
}

/** One change of a model's version or adapters; kept until every group has changed or the intent is removed. */
export interface RolloutRecord {
  readonly team: TeamId
  readonly model: ModelId
  readonly target: ModelRevision
  /** Revision to roll back to; null if there was none. */
  readonly previous: ModelRevision | null
  readonly phase: RolloutPhase
  readonly cause: string
  readonly sinceWallMs: number
}

/** `nodes/<node>`: written when the node starts and when it drains; not a heartbeat. */
export interface NodeObject extends WithWriteToken {
  readonly node: NodeId
  readonly incarnation: number
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly meshAddress: string
  readonly entryAddress: string
  /** Base URL for operators. */
  readonly adminAddress: string
  readonly draining: boolean
}

/**
 * `drains/<vm>`, `drains/<group>` or `drains/node/<node>`: an operator's request that a VM, a group or a node get no new work
 * and finish its running requests.
 */
export interface DrainObject extends WithWriteToken {
  /** The VM or the group; for a node `<node>.<incarnation>`, so that its next incarnation is not drained too. */
  readonly target: string
  readonly requestedBy: string
  readonly requestedAtWallMs: number
  readonly reason: string
}

export enum AuditKind {
  SettingsApplied = 'settings-applied',
  SettingsDeleted = 'settings-deleted',
  LeaseTaken = 'lease-taken',
  LeaseReleased = 'lease-released',
  GroupFormed = 'group-formed',
  GroupRepaired = 'group-repaired',
  GroupBroken = 'group-broken',
  GroupDissolved = 'group-dissolved',
  RolloutStep = 'rollout-step',
  RolloutHalted = 'rollout-halted',
  DrainRequested = 'drain-requested',
  NodeStarted = 'node-started',
  NodeDraining = 'node-draining'
}

/** One recorded change: actor, subject, values before and after, and reason. */
export interface AuditRecord {
  readonly kind: AuditKind
  readonly atWallMs: number
  /** `operator:<name>` or `node:<node>`. */
  readonly actor: string
  /** The key or id that changed. */
  readonly subject: string
  readonly before: string | null
  readonly after: string | null
  readonly reason: string
  /** For decisions: the rejected options, with their scores. */
  readonly rejected: readonly string[]
}

/** `audit/<day>/<node>.<incarnation>.<batch>`: one batch of audit records. */
export interface AuditBatch extends WithWriteToken {
  readonly records: readonly AuditRecord[]
}

/** `quarantine/<fingerprint>`: a poison request, which crashes the endpoints that run it and is not dispatched. Removing the object lets the request run again. */
export interface QuarantineObject {
  readonly outline: number
  /** The part of prompts that is refused; absent where it is a request. */
  readonly part?: string
  readonly service: ServiceId
  /** Null for requests without a key. */
  readonly caller: WorkspaceId | null
  /** Number of endpoints that had terminated while running it when it was quarantined. */
  readonly ends: number
  readonly decidedBy: NodeId
}
