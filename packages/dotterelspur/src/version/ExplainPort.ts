import type { GroupId, ModelId, TeamId, VmId } from '../process/ids.js'

/** What an explanation is about. */
export enum ExplainSubject {
  Group = 'group',
  Vm = 'vm',
  Intent = 'intent'
}

/** Why something is not as it should be. A stable word for programs; the cause's message is for people. */
export enum ExplainCauseKind {
  /** Nothing of this name is known here. */
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
  /** No team wants another group where it stands. */
  VmNotWanted = 'vm-not-wanted',
  FabricDomainDark = 'fabric-domain-dark',

  TooFewVms = 'too-few-vms',
  /** The places that the intent names hold no fitting fabric domain. */
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
  /** The VM, group, team or domain that causes it; null where it is the subject itself. */
  readonly subject: string | null
  readonly message: string
  /** When it began; null where that isn't recorded. */
  readonly sinceWallMs: number | null
  /** Ways that were weighed and rejected, with their scores. */
  readonly rejected: readonly string[]
}

/** An answer to: why is it so? The causes that matter most come first. */
export interface Explanation {
  readonly subject: ExplainSubject
  /** The group, the VM, or `<team>/<model>`. */
  readonly name: string
  /** Serving, in use, or met: nothing needs to be done. */
  readonly satisfied: boolean
  /** One sentence. */
  readonly summary: string
  readonly causes: readonly ExplainCause[]
}

/** Answers from recorded causes, for the operators' listener; the records may be another node's. Undefined: nothing of this name is known. */
export interface ExplainPort {
  /** Why does the group not serve? */
  explainGroup (group: GroupId): Promise<Explanation | undefined>
  /** Why is the VM idle, or where did it go? */
  explainVm (vm: VmId): Promise<Explanation | undefined>
  /** Why is the team's intent for the model not met? */
  explainIntent (team: TeamId, model: ModelId): Promise<Explanation | undefined>
}
