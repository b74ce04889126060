import {
  ASSIGNMENT_PREFIX, DRAIN_PREFIX, groupAtStepIn, GroupState, isDegraded, assessGroup, mergeTeardowns, readStepIn, VM_LIST_PREFIX, type AssignedGroup, type AssignedMember, type AssignmentObject, type GroupId, type GroupPresence, type MemberNotReadyReason, type Teardown, type VmId,
  type VmRecord
} from 'dotterelspur'
import { assignmentDocuments, drainTargets, vmListDocuments } from '../version/FleetDocuments.js'
import { leavingVms, planWatches, type WatchedGroup, type WatchPlan } from '../version/WatchPlan.js'
import type { FleetOptions } from './FleetOptions.js'
import type { FleetTiming } from './FleetTiming.js'
import type { Prober, ProbeTarget } from './Prober.js'
import { ServiceWatcher } from './ServiceWatcher.js'
import { Ticker } from './Ticker.js'

const REQUESTER = 'watcher'
/** Never equal to a joined list of group ids, so that the next comparison always sets the targets. */
const STEADY_GROUPS_UNKNOWN = '?'

/** The presence of a group that this node watches, and the first member that isn't ready, for `explain`. */
export interface GroupEvidence {
  readonly presence: GroupPresence
  readonly notReady: { readonly vm: VmId, readonly reason: MemberNotReadyReason } | null
}

/** Probes the groups and service workers that rendezvous hashing selects for this node, and publishes their presence. */
export class Watcher {
  private plan: WatchPlan = { groups: [], services: [] }
  private leaving: ReadonlySet<string> = new Set()
  private assessments = new Map<GroupId, GroupEvidence>()
  private readonly groupOfVm = new Map<VmId, WatchedGroup>()
  private readonly services: ServiceWatcher
  private readonly ticker: Ticker
  private isPlanStale = true
  private records: ReadonlyMap<VmId, VmRecord> = new Map()
  private steadyGroups = ''
  private teardown: Teardown = () => {}

  constructor (private readonly options: FleetOptions, private readonly timing: FleetTiming, private readonly prober: Prober, onError: (error: unknown) => void) {
    this.services = new ServiceWatcher(options, timing, () => { this.publish() }, onError)
    this.ticker = new Ticker(options.clock, options.random, timing.publishIntervalMs, () => { this.tick() }, onError)
  }

  start (): void {
    const { mesh } = this.options
    const replan = (): void => {
      this.isPlanStale = true
      this.ticker.trigger()
    }
    this.teardown = mergeTeardowns(
      mesh.registerDocumentListener(ASSIGNMENT_PREFIX, replan),
      mesh.registerDocumentListener(VM_LIST_PREFIX, replan),
      mesh.registerDocumentListener(DRAIN_PREFIX, replan),
      mesh.registerMembersListener(replan)
    )
    this.ticker.start(0)
  }

  stop (): void {
    this.teardown()
    this.ticker.stop()
    this.services.stop()
    this.prober.setTargets(REQUESTER, [])
  }

  evidence (): readonly GroupEvidence[] {
    return [...this.assessments.values()]
  }

  /** Assesses the group of a VM after an observation, and publishes at once when the group is degraded or complete again. */
  handleObservation (vm: VmId): void {
    const watched = this.groupOfVm.get(vm)
    if (watched === undefined) return
    const before = this.assessments.get(watched.group.group)?.presence
    const after = this.assess(watched)
    this.assessments.set(watched.group.group, after)
    const isBetter = before?.complete !== true && after.presence.complete
    if (isBetter || isDegraded(before, after.presence)) this.publish()
  }

  private tick (): void {
    if (this.isPlanStale) this.replan()
    this.publish()
    this.setTargets()
  }

  private replan (): void {
    const { mesh } = this.options
    this.isPlanStale = false
    const vmLists = vmListDocuments(mesh)
    this.leaving = new Set([...leavingVms(vmLists), ...drainTargets(mesh)])
    this.plan = planWatches({ self: mesh.self, members: mesh.members(), assignments: assignmentDocuments(mesh).map(({ body }) => body), vmLists })
    this.groupOfVm.clear()
    for (const watched of this.plan.groups) {
      for (const member of [...watched.group.members, ...watched.group.standbys]) this.groupOfVm.set(member.vm, watched)
    }
    this.records = new Map(vmLists.flatMap((list) => list.vms).map((record) => [record.vm, record]))
    this.steadyGroups = STEADY_GROUPS_UNKNOWN
    this.setTargets()
    this.services.setWorkers(this.plan.services, this.leaving)
  }

  /** Complete, serving groups are probed half as often; the targets are replaced when the set of these groups changes. */
  private setTargets (): void {
    const steady = this.plan.groups.map(({ group }) => group).filter((group) => this.isSteady(group)).map((group) => group.group)
    const key = steady.join()
    if (key === this.steadyGroups) return
    this.steadyGroups = key
    const isSteady = new Set(steady)
    this.prober.setTargets(REQUESTER, this.plan.groups.flatMap(({ group }) => this.targetsOf(group, isSteady.has(group.group))))
  }

  private isSteady (group: AssignedGroup): boolean {
    const presence = this.assessments.get(group.group)?.presence
    return group.state === GroupState.Serving && presence !== undefined && presence.complete && presence.formation === group.formation
  }

  /** A member is probed at its listed address when the VM list has the assigned incarnation or a later one, since a VM may move. */
  private targetsOf (group: AssignedGroup, isSteady: boolean): readonly ProbeTarget[] {
    const intervalMs = isSteady ? this.timing.steadyProbeIntervalMs : this.timing.probeIntervalMs
    const standbyIntervalMs = isSteady ? this.timing.idleProbeIntervalMs : this.timing.probeIntervalMs
    return [...group.members.map((member) => this.targetOf(member, intervalMs)), ...group.standbys.map((standby) => this.targetOf(standby, standbyIntervalMs))]
  }

  private targetOf (member: AssignedMember, intervalMs: number): ProbeTarget {
    const record = this.records.get(member.vm)
    const address = record !== undefined && record.incarnation >= member.incarnation ? record.address : member.address
    return { vm: member.vm, address, intervalMs }
  }

  private assess (watched: WatchedGroup): GroupEvidence {
    const { group } = watched
    const assessment = this.assessStepIn(watched) ?? this.assessAs(watched.assignment, group)
    const drained = this.leaving.has(group.group)
    return drained ? { ...assessment, presence: { ...assessment.presence, leaving: true } } : assessment
  }

  private assessAs (assignment: AssignmentObject, group: AssignedGroup): GroupEvidence {
    return assessGroup(assignment, group, this.prober.observations, this.leaving, this.options.clock.nowMs(), this.timing.evidenceTtlMs)
  }

  /** Standbys may have stepped in at a reserved formation, which counts only when it is complete. */
  private assessStepIn ({ assignment, group }: WatchedGroup): GroupEvidence | undefined {
    if (group.stepInBase === undefined) return undefined
    for (const { vm } of group.standbys) {
      const status = this.prober.observations.get(vm)?.evidence?.status
      const derived = status?.group === group.group ? readStepIn(group, status.formation) : null
      const assessed = derived === null ? undefined : this.assessAs(assignment, groupAtStepIn(group, derived))
      if (assessed?.presence.complete === true) return assessed
    }
    return undefined
  }

  private publish (): void {
    this.assessments = new Map(this.plan.groups.map((watched) => [watched.group.group, this.assess(watched)]))
    const groups = [...this.assessments.values()].map((evidence) => evidence.presence)
    this.options.mesh.publishPresence(groups, this.services.presence())
  }
}
