import type { GroupId, ModelId, TeamId, VmId } from '../process/ids.js'

/** Kind of object that an explanation is about. */
export enum ExplainSubject {
  Group = 'group',
  Vm = 'vm',
  Intent = 'intent'
}

/** Kind of cause: a stable identifier for programs, while the cause's message is for people. */
export enum ExplainCauseKind {
  /** This node has no record of the name. */
  Unknown = 'unknown',

  GroupForming = 'group-forming',
  GroupBroken = 'group-broken',
  GroupDraining = 'group-draining',
  OperatorDrain = 'operator-drain',
  EvidenceMissing = 'evidence-missing',
  EvidenceExpired = 'evidence-expired',
  MemberAbsent = 'member-absent',
  MemberRestarted = 'member-restarted',
  MemberLoading = 'member-loading',
  MemberFailed = 'member-failed',
  MemberLeaving = 'member-leaving',
  /** A member is ready, but for another group, formation, model or version. */
  MemberElsewhere = 'member-elsewhere',

  VmAssigned = 'vm-assigned',
  VmStandby = 'vm-standby',
  VmLeaving = 'vm-leaving',
  VmAbsent = 'vm-absent',
  VmFlapping = 'vm-flapping',
  VmStraggling = 'vm-straggling',
  VmListedTwice = 'vm-listed-twice',
  /** Its fabric domain has too few free VMs for any wanted group. */
  VmTooFewBeside = 'vm-too-few-beside',
  /** No team wants another group in its fabric domain. */
  VmNotWanted = 'vm-not-wanted',
  FabricDomainDark = 'fabric-domain-dark',

  TooFewVms = 'too-few-vms',
  /** No fabric domain is eligible under the intent's regions, failure domains and fabric domains. */
  NoPlace = 'no-place',
  CompetingTeam = 'competing-team',
  RolloutInProgress = 'rollout-in-progress',
  RolloutHalted = 'rollout-halted',
  WaitingForWeights = 'waiting-for-weights',
  RepairChosen = 'repair-chosen',
  RepairWaiting = 'repair-waiting',
  LeaseUnheld = 'lease-unheld',
  StoreUnavailable = 'store-unavailable'
}

export interface ExplainCause {
  readonly kind: ExplainCauseKind
  /** The VM, group, team, version or domain that the cause is about; null if it is the subject itself. */
  readonly subject: string | null
  readonly message: string
  /** Time at which it began; null if that is not recorded. */
  readonly sinceWallMs: number | null
  /** Options that were considered and rejected, with their scores. */
  readonly rejected: readonly string[]
}

/** Explanation of an object's state. The most important causes come first. */
export interface Explanation {
  readonly subject: ExplainSubject
  /** The group, the VM, or `<team>/<model>`. */
  readonly name: string
  /** Whether the group serves, the VM is in use, or the intent is met. */
  readonly satisfied: boolean
  /** One sentence. */
  readonly summary: string
  readonly causes: readonly ExplainCause[]
}

/** Explanations from recorded causes, for the operators' listener. The records may be another node's. Undefined means that the name is not in any record. */
export interface ExplainPort {
  /** Why does the group not serve? */
  explainGroup (group: GroupId): Promise<Explanation | undefined>
  /** Why is the VM idle, or where did it go? */
  explainVm (vm: VmId): Promise<Explanation | undefined>
  /** Why is the team's intent for the model not met? */
  explainIntent (team: TeamId, model: ModelId): Promise<Explanation | undefined>
}
