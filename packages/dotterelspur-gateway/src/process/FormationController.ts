import {
  FormationDecisionKind, FormationOutcome, EndpointOrderKind, OrderReply, planFormations, sleep, stalledHeads,
  type Clock, type EndpointId, type EndpointRecord, type EngineSpec, type FormationDecision, type FormationPlan, type FormingGroup, type ModelId, type ServiceSpec, type Teardown
} from 'dotterelspur'
import type { DecisionLog } from './DecisionLog.js'
import { LogKind } from './DecisionLog.js'
import type { EndpointRegistry } from './EndpointRegistry.js'
import type { EvacuationRegistry } from './EvacuationRegistry.js'
import type { FleetLease } from './FleetLease.js'
import { VerifiedReportClient } from './VerifiedReportClient.js'
import { FleetStateLog, isServingHead } from './FleetStateLog.js'
import { FormationRunner } from './FormationRunner.js'
import { describeMembership, FormationHistory } from './FormationHistory.js'
import { formationNumber } from './formationNumbers.js'
import type { EndpointControl } from './GatewayPorts.js'
import { WeightLoadTracker, type LoadInProgress } from './WeightLoadTracker.js'
import type { ManifestFollower } from './ManifestFollower.js'
import { PlanningScope } from './PlanningScope.js'
import { Reachability, type LinkCheck } from './Reachability.js'
import { isSameFormation, UnlistedHeads } from './UnlistedHeads.js'

/** Delay after a change of the endpoint list; changes come in bursts, as when members of a group become ready one after another. */
const CHANGE_DEBOUNCE_MS = 20
/** Evaluation interval without changes, needed because endpoints can fall silent without one. */
const EVALUATION_INTERVAL_MS = 250
/** The endpoints of a starting fleet appear within two or three seconds, with shorter gaps between them. */
const FLEET_SETTLED_MS = 1_500
/** Pause before the members of a failed plan are used again, so that the same plan is not retried continuously. */
const FAILED_PLAN_PAUSE_MS = 300

export interface FormationControllerParts {
  readonly clock: Clock
  readonly log: DecisionLog
  readonly lease: FleetLease
  readonly manifest: ManifestFollower
  readonly endpoints: EndpointRegistry
  /** Absent where no failure domain is ever evacuated. */
  readonly evacuations?: EvacuationRegistry
  readonly control: EndpointControl
  readonly checkLink?: LinkCheck
  /** Group time that callers demand, by model; empty while there is no data. */
  readonly demand: () => ReadonlyMap<ModelId, number>
  /** Called when a group is suspected and its members are being probed. */
  readonly onSuspected: (head: EndpointId) => void
  /** Called with the heads of groups that have lost a member, or have an unresponsive one, and are listed as open; repeated while the condition lasts. */
  readonly onStalled: (heads: readonly EndpointId[], isNew: boolean) => void
  /** Called before loads from the weight store are ordered beside callers' requests; they are in `loadsInProgress` then. */
  readonly onLoadsBegun: () => void
  /**
   * Whether the endpoint list is complete. A node that received only changes of heads would judge groups by outdated
   * member records: it would report most of them as stalled, and all nodes would avoid them.
   */
  readonly hasAllEndpoints: () => boolean
  /** Whether callers' requests have arrived; from then on loads take their full time. */
  readonly hasTraffic: () => boolean
}

/** Controls the groups of each model service: plans formations while it holds the lease, and carries them out. */
export class FormationController {
  private readonly reports: VerifiedReportClient
  private readonly reachability: Reachability
  private readonly runner: FormationRunner
  private readonly loads = new WeightLoadTracker()
  private readonly engaged = new Map<EndpointId, FormationPlan>()
  private readonly forming = new Set<FormationPlan>()
  private readonly unlistedHeads: UnlistedHeads
  private records: ReadonlyMap<EndpointId, EndpointRecord> = new Map()
  private readonly scope: PlanningScope
  private reportedStalled: ReadonlySet<EndpointId> = new Set()
  private formationCount = 0
  private readonly stateLog: FleetStateLog
  private appearedAtMs = -Infinity
  private cancelEvaluation: Teardown = () => {}
  private stopped = false

  constructor (private readonly parts: FormationControllerParts) {
    this.stateLog = new FleetStateLog(parts.clock, parts.log)
    this.reports = new VerifiedReportClient({ control: parts.control, isSuperseded: (location) => parts.endpoints.isSuperseded(location) })
    this.reachability = new Reachability(this.reports, parts.clock, parts.log, () => { this.evaluateSoon() }, parts.checkLink)
    this.unlistedHeads = new UnlistedHeads(this.reachability)
    const { clock, lease, endpoints, control, evacuations } = parts
    const find = (endpoint: EndpointId): EndpointRecord | undefined => this.records.get(endpoint) ?? this.unlistedHeads.get(endpoint)
    this.scope = new PlanningScope(evacuations, find)
    this.runner = new FormationRunner({ clock, lease, endpoints, control: this.scope.guard(control), reports: this.reports, reachability: this.reachability, find })
    evacuations?.registerListener(() => { this.evaluateSoon() })
    endpoints.registerListener((changed) => { this.noteEndpoints(changed) })
    parts.manifest.registerListener(() => { this.evaluateSoon() })
  }

  start (): void {
    this.schedule(EVALUATION_INTERVAL_MS)
  }

  stop (): void {
    this.stopped = true
    this.reachability.stop()
    this.cancelEvaluation()
  }

  /** Loads that this node has started or received from the lease holder. */
  loadsInProgress (): LoadInProgress[] {
    return this.loads.inProgress(this.parts.clock.nowMs())
  }

  /**
   * Takes over the lease holder's loads in progress, so that its successor does not start more beside them, which would
   * slow all of them.
   */
  noteLoads (loads: readonly LoadInProgress[]): void {
    if (!this.parts.lease.mayOrder()) this.loads.replace(loads, this.parts.clock.nowMs())
  }

  /** Probes each listed member of a group that appears stalled in a caller's exchange. */
  suspectGroup (head: EndpointId): void {
    const record = this.records.get(head)
    if (record === undefined || record.membership === null || !this.parts.lease.isCoordinator()) return
    const { membership } = record
    const members = [...this.records.values()].filter((other) => isSameFormation(other, record))
    const probed = members.filter((member) => this.reachability.suspect(member))
    if (probed.length === 0) return
    this.parts.log.write(LogKind.GroupSuspected, { head, group: membership.group, asked: probed.length })
    this.parts.onSuspected(head)
  }

  /** Heads that accept requests although their group has lost a member or one is unresponsive. */
  stalledHeads (): EndpointId[] {
    if (!this.parts.hasAllEndpoints()) return []
    const models = this.parts.manifest.current?.manifest.services.flatMap(({ engine }) => engine?.models ?? []) ?? []
    const sizes = new Map(models.map(({ model, size }) => [model, size]))
    return stalledHeads(this.records.values(), sizes, ({ endpoint }) => !this.reachability.isUnreachable(endpoint), ({ endpoint }) => this.reachability.isUnresponsive(endpoint))
  }

  private reportStalled (): void {
    const heads = this.stalledHeads()
    const isNew = heads.some((head) => !this.reportedStalled.has(head))
    this.reportedStalled = new Set(heads)
    if (heads.length > 0) this.parts.onStalled(heads, isNew)
  }

  private noteEndpoints (endpoints: ReadonlyMap<EndpointId, EndpointRecord>): void {
    for (const [id, record] of this.records) {
      if (!endpoints.has(id) && isServingHead(record) && !this.parts.endpoints.isSuperseded(record)) {
        this.unlistedHeads.add(record)
        if (this.parts.lease.mayOrder()) this.reachability.suspect(record)
      }
    }
    for (const id of endpoints.keys()) {
      this.unlistedHeads.noteListed(id)
      if (!this.records.has(id)) this.appearedAtMs = this.parts.clock.nowMs()
    }
    this.records = endpoints
    this.loads.retain(endpoints)
    this.reports.retain(endpoints)
    for (const record of endpoints.values()) this.loads.noteStagedModels(record)
    this.runner.noteListChanged()
    this.evaluateSoon()
  }

  private evaluateSoon (): void {
    this.schedule(CHANGE_DEBOUNCE_MS)
  }

  private schedule (delayMs: number): void {
    if (this.stopped) return
    this.cancelEvaluation()
    this.cancelEvaluation = this.parts.clock.registerTimer(delayMs, () => { this.evaluate() })
  }

  private evaluate (): void {
    this.schedule(EVALUATION_INTERVAL_MS)
    const { lease, manifest } = this.parts
    // What was found in a former term may no longer hold, and nobody probes again until the next one.
    if (!lease.isCoordinator()) this.reachability.clear()
    if (!lease.isCoordinator() || !this.parts.hasAllEndpoints() || manifest.current === null) return
    this.unlistedHeads.evictLost()
    this.unlistedHeads.probeUndecided()
    this.reachability.recheck(this.records, this.unlistedHeads.endpoints())
    this.reportStalled()
    if (!lease.mayOrder()) return
    for (const service of manifest.current.manifest.services) {
      if (service.engine !== null) this.decide(service, service.engine)
    }
  }

  private decide (service: ServiceSpec, engine: EngineSpec): void {
    const { clock } = this.parts
    const listed = [...this.records.values()].filter((record) => record.service === service.service)
    const { endpoints, peakEndpoints } = this.scope.select(service.service, listed)
    const decisions = planFormations({
      endpoints,
      unreachable: this.reachability.unreachable(),
      unresponsive: this.reachability.unresponsive(),
      unlistedHeads: this.unlistedHeads.reachable(),
      engaged: new Set([...this.engaged.keys(), ...this.reachability.undecided(), ...this.unlistedHeads.undecidedMembers(this.records.values())]),
      forming: [...this.forming].filter((plan) => !this.scope.isWithheld(plan)).map((plan) => this.formingGroup(plan)),
      models: engine.models,
      demand: this.demandOf(engine),
      peakEndpoints,
      loading: this.loads.loading(clock.nowMs()),
      loadAllowance: this.parts.hasTraffic() ? this.loads.allowance(engine, clock.nowMs()) : endpoints.length,
      mayLoadToForm: !this.parts.hasTraffic(),
      isFleetStable: clock.nowMs() - this.appearedAtMs >= FLEET_SETTLED_MS,
      nextFormation: () => this.nextFormation()
    })
    for (const decision of decisions) this.begin(decision, engine)
    this.stateLog.note({
      service: service.service, engine, endpoints, unreachable: this.reachability.unreachable().size, unresponsive: this.reachability.unresponsive().size, engaged: this.engaged.size, forming: [...this.forming], demand: this.demandOf(engine)
    })
  }

  private formingGroup ({ model, members }: FormationPlan): FormingGroup {
    const known = members.map((member) => this.records.get(member)?.fabricDomain).find((domain) => domain !== undefined && domain !== null)
    return { model, fabricDomain: known ?? '' }
  }

  /** Uses the operators' configured shares until callers' demand has been observed for all models. */
  private demandOf (engine: EngineSpec): Map<ModelId, number> {
    const seen = this.parts.demand()
    const hasSeen = engine.models.every(({ model }) => seen.has(model))
    return new Map(engine.models.map((spec) => [spec.model, hasSeen ? seen.get(spec.model)! * spec.pace : spec.share / spec.size]))
  }

  private nextFormation (): number {
    this.formationCount += 1
    return formationNumber(this.parts.lease.fencing!, this.formationCount)
  }

  private begin (decision: FormationDecision, engine: EngineSpec): void {
    switch (decision.kind) {
      case FormationDecisionKind.Form: return this.run(this.form(decision.plan, engine))
      case FormationDecisionKind.Stage: return this.run(this.stage(decision.endpoint, decision.model, engine))
    }
  }

  private run (work: Promise<void>): void {
    work.catch((error: unknown) => { this.parts.log.write(LogKind.Unexpected, { where: 'formation', error: String(error) }) })
  }

  private async form (plan: FormationPlan, engine: EngineSpec): Promise<void> {
    const { clock, log } = this.parts
    const startedAtMs = clock.nowMs()
    this.beginLoads(plan, engine)
    for (const member of plan.members) this.engaged.set(member, plan)
    this.forming.add(plan)
    log.write(LogKind.FormationBegun, {
      group: plan.group, model: plan.model, members: plan.members, places: plan.members.map((member) => this.describeMember(member)), former: plan.former.map(({ group, head }) => `${group}:${head ?? 'gone'}`)
    })
    const history = new FormationHistory()
    const end = await this.runner.run(plan, history)
    log.write(LogKind.FormationEnded, { group: plan.group, model: plan.model, end, tookMs: Math.round(clock.nowMs() - startedAtMs), steps: history.steps })
    if (end === FormationOutcome.Opened) await this.runner.untilListedOpen(plan)
    else await sleep(clock, FAILED_PLAN_PAUSE_MS)
    this.forming.delete(plan)
    for (const member of plan.members) this.engaged.delete(member)
    this.evaluateSoon()
  }

  /** A member's assumed membership, with the source and age of its record. */
  private describeMember (member: EndpointId): string {
    const record = this.records.get(member)
    const origin = this.parts.endpoints.recordOrigin(member)
    if (record === undefined || origin === undefined) return `${member}: unknown`
    return `${member} at ${record.address}: ${describeMembership(record.membership)}, by ${origin.source} ${Math.round(this.parts.clock.nowMs() - origin.atMs)} ms ago`
  }

  private async stage (endpoint: EndpointId, model: ModelId, engine: EngineSpec): Promise<void> {
    const spec = engine.models.find((candidate) => candidate.model === model)!
    this.loads.begin(endpoint, spec, this.parts.clock.nowMs())
    this.announceLoads()
    const [reply] = await this.runner.sendOrders([{ endpoint, order: { kind: EndpointOrderKind.Stage, model }, expectedOrderCount: null }])
    this.parts.log.write(LogKind.HostStaged, { endpoint, model, reply })
    if (reply === OrderReply.Unfit || reply === OrderReply.Elsewhere || reply === OrderReply.Unreachable) this.loads.drop(endpoint)
    if (reply === OrderReply.Unanswered) this.loads.markUncertain(endpoint, this.parts.clock.nowMs())
  }

  private beginLoads (plan: FormationPlan, engine: EngineSpec): void {
    const spec = engine.models.find(({ model }) => model === plan.model)!
    const loading = plan.members.filter((member) => this.records.get(member)?.staged.includes(plan.model) !== true)
    for (const member of loading) this.loads.begin(member, spec, this.parts.clock.nowMs())
    if (loading.length > 0) this.announceLoads()
  }

  /** Before callers' requests arrive, no limit applies, and all groups of the fleet load at once: a message for each would be too many. */
  private announceLoads (): void {
    if (this.parts.hasTraffic()) this.parts.onLoadsBegun()
  }
}
