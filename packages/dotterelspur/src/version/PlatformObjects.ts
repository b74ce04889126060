import type { AdapterId, FabricDomainId, FailureDomainId, GroupId, ModelId, ModelVersion, NodeId, RegionId, ServiceId, TeamId, VmId, WorkspaceId } from '../process/ids.js'
import type { VmRecord } from '../process/VmRecord.js'

/**
 * The bodies of the objects that the system keeps in the platform. Every write carries a `writeToken` that no
 * other write has, so that a write whose answer was lost can be recognised when it is read back.
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
/** Nodes are drained apart from VMs and groups, whose names may be the same. */
export const NODE_DRAIN_PREFIX = 'drains/node/'
/** Not an object of the platform: the part of the platform's VM list that a controller spreads over the mesh. */
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
 * `vms/<failureDomain>`, spread by the mesh only, with the listing's version: the VMs of one failure domain as
 * its controller last read them. One node per failure domain reads the platform's list, and all others learn
 * addresses and leaving VMs from it.
 */
export interface VmListDocument {
  readonly failureDomain: FailureDomainId
  readonly vms: readonly VmRecord[]
}

/** `teams/<team>`: the INI text as the operator wrote it; parsed where it is used, so that the text is never lost. */
export interface TeamObject extends WithWriteToken {
  readonly team: TeamId
  readonly text: string
  /** Operator's name, for the audit trail. */
  readonly appliedBy: string
  readonly appliedAtWallMs: number
  /**
   * Marks the operator's change, the same over all its repeats: a change whose answer was lost is recognised by
   * it, where `writeToken` only marks one write of the store's client.
   */
  readonly changeToken?: string
}

/** `leases/<failureDomain>`. */
export interface LeaseObject extends WithWriteToken {
  readonly failureDomain: FailureDomainId
  readonly holder: NodeId
  readonly holderIncarnation: number
  /** Rises at each takeover, never falls. */
  readonly fencing: number
  readonly ttlMs: number
  /** Rises with each write that the holder sends, so that it tells its own writes apart whose answers were lost. */
  readonly renewal: number
  /** The holder gave it up: anyone may take it at once. */
  readonly released: boolean
}

export enum GroupState {
  /** Members load and join. */
  Forming = 'forming',
  /** May serve while its presence evidence is complete and fresh. */
  Serving = 'serving',
  /** Finishes what it has; to be dissolved or formed again. */
  Draining = 'draining',
  /** Lost a member; serves nothing until repaired or dissolved. */
  Broken = 'broken'
}

export interface AssignedMember {
  readonly vm: VmId
  /** A VM that restarts is another member: its old incarnation's place is empty. */
  readonly incarnation: number
  readonly address: string
}

export interface AssignedGroup {
  readonly group: GroupId
  /** Rises at each change of members, model, version or adapters. */
  readonly formation: number
  readonly state: GroupState
  readonly team: TeamId
  readonly model: ModelId
  readonly version: ModelVersion
  readonly adapters: readonly AdapterId[]
  /** In rank order; rank 0 leads. */
  readonly members: readonly AssignedMember[]
  /** Standbys agreed in advance, in the order in which they step in. */
  readonly standbys: readonly AssignedMember[]
  /**
   * The first of the formation numbers that are set aside for standbys that step in without a new agreement;
   * another one after each change of members or standbys. See `StepIn`.
   */
  readonly stepInBase?: number
  /** What the members load beside what they serve, ahead of a change of version; the formation stays. */
  readonly preload?: ModelRevision
  /** Why the group is in this state, for `explain`. */
  readonly cause: string
  readonly sinceWallMs: number
}

/**
 * `assignments/<fabricDomain>`: the only place that says which VM is in which group. One object per fabric
 * domain, changed by one conditional update, so that no VM can be in two groups.
 */
export interface AssignmentObject extends WithWriteToken {
  readonly fabricDomain: FabricDomainId
  readonly failureDomain: FailureDomainId
  readonly region: RegionId
  /** The fencing number of the lease under which it was written; never falls. */
  readonly fencing: number
  readonly groups: readonly AssignedGroup[]
  /**
   * The highest formation number ever given in this fabric domain. Each new formation takes the next one, so that
   * a group id made from it is never used twice and late evidence of a dissolved group fits no other.
   */
  readonly highestFormation?: number
  /** What this fabric domain's controller knows of changes of version under way. */
  readonly rollouts?: readonly RolloutRecord[]
}

export enum RolloutPhase {
  Running = 'running',
  /** Stopped by its health check; groups go back to the version before. */
  Halted = 'halted'
}

/** A model version together with its adapters: what a rollout changes. */
export interface ModelRevision {
  readonly version: ModelVersion
  readonly adapters: readonly AdapterId[]
}

/** One change of a model's version or adapters, kept until every group has it or its intent goes. */
export interface RolloutRecord {
  readonly team: TeamId
  readonly model: ModelId
  readonly target: ModelRevision
  /** What ran before, to go back to; null when nothing did. */
  readonly previous: ModelRevision | null
  readonly phase: RolloutPhase
  readonly cause: string
  readonly sinceWallMs: number
}

/** `nodes/<node>`: written at start and at drain, no heartbeat. */
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
 * `drains/<vm>`, `drains/<group>` or `drains/node/<node>`: an operator asks that an endpoint, a group or a node
 * takes no new work and finishes what it has.
 */
export interface DrainObject extends WithWriteToken {
  /** The VM or the group; for a node its process, `<node>.<incarnation>`, so that the one after it isn't drained too. */
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

/** One change: who, what, before, after, why. */
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
  /** For decisions: the ways that were rejected, with their scores. */
  readonly rejected: readonly string[]
}

/** `audit/<day>/<node>.<incarnation>.<batch>`: appended in batches. */
export interface AuditBatch extends WithWriteToken {
  readonly records: readonly AuditRecord[]
}

/** `quarantine/<fingerprint>`: a request that ends endpoints and is sent nowhere. An operator who removes it lets the request run again. */
export interface QuarantineObject {
  readonly outline: number
  readonly service: ServiceId
  /** Null for callers without a key. */
  readonly caller: WorkspaceId | null
  /** Endpoints that had ended with it when it was decided. */
  readonly ends: number
  readonly decidedBy: NodeId
}
