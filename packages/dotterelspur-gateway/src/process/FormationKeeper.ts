import {
  FormationDecisionKind, FormationOutcome, formationKey, EndpointOrderKind, OrderReply, planFormations, sleep, stalledHeads,
  type Clock, type EndpointId, type EndpointRecord, type EngineSpec, type FormationDecision, type FormationPlan, type FormingGroup, type ModelId, type ServiceSpec, type Teardown
} from 'dotterelspur'
import type { DecisionLog } from './DecisionLog.js'
import { LogKind } from './DecisionLog.js'
import type { EndpointKeeper } from './EndpointKeeper.js'
import type { FleetLease } from './FleetLease.js'
import { EndpointQuestions } from './EndpointQuestions.js'
import { FleetStateLog, isServingHead } from './FleetStateLog.js'
import { FormationRunner } from './FormationRunner.js'
import { describePlace, FormationTrail } from './FormationTrail.js'
import type { EndpointControl } from './GatewayPorts.js'
import { LoadMeter, type LoadUnderWay } from './LoadMeter.js'
import type { ManifestKeeper } from './ManifestKeeper.js'
import { Reachability } from './Reachability.js'

/** Formation numbers of one lease holding; the next holding's are all higher. */
const FORMATIONS_PER_TERM = 1_000_000

/** Changes of the list come in bursts, as when members of a group get ready one after the other. */
const SETTLE_MS = 20
/** Looks at the fleet also without a change: endpoints fall silent without one. */
const LOOK_INTERVAL_MS = 250
/** Endpoints of a fleet that starts appear within two or three seconds of each other, with shorter gaps between them. */
const SETTLED_MS = 1_500
/** A lost plan's members are left alone for this long, so that the same plan isn't tried without pause. */
const FAILED_PLAN_PAUSE_MS = 300

export interface FormationKeeperParts {
  readonly clock: Clock
  readonly log: DecisionLog
  readonly lease: FleetLease
  readonly manifest: ManifestKeeper
  readonly endpoints: EndpointKeeper
  readonly control: EndpointControl
  /** Group time that callers ask for, by model; empty while nothing is known. */
  readonly demand: () => ReadonlyMap<ModelId, number>
  /** A group is suspected, and its members are being asked. */
  readonly onSuspected: (head: EndpointId) => void
  /** Groups that have lost a member and are listed as open, by their heads; told again while it lasts. */
  readonly onStopped: (heads: readonly EndpointId[], isNews: boolean) => void
  /**
   * Whether all endpoints are known. A node that was told only of those that take requests would judge groups by what their
   * members were long ago: it would call most of them stopped, and all nodes would leave them.
   */
  readonly knowsAll: () => boolean
  /** Whether callers' requests have come, after which loads take their full time. */
  readonly trafficSeen: () => boolean
}

/** Keeps the groups of each model service: decides while it holds the lease, and carries out what was decided. */
export class FormationKeeper {
  private readonly questions: EndpointQuestions
  private readonly reachability: Reachability
  private readonly runner: FormationRunner
  private readonly loads = new LoadMeter()
  private readonly engaged = new Map<EndpointId, FormationPlan>()
  private readonly forming = new Set<FormationPlan>()
  /** Heads that left the list and may still serve those who know their address. */
  private readonly unlistedHeads = new Map<EndpointId, EndpointRecord>()
  private known: ReadonlyMap<EndpointId, EndpointRecord> = new Map()
  private readonly fullSizes = new Map<string, number>()
  private toldStopped: ReadonlySet<EndpointId> = new Set()
  private formations = 0
  private readonly stateLog: FleetStateLog
  private appearedAtMs = -Infinity
  private cancelLook: Teardown = () => {}
  private stopped = false

  constructor (private readonly parts: FormationKeeperParts) {
    this.stateLog = new FleetStateLog(parts.clock, parts.log)
    this.questions = new EndpointQuestions({ control: parts.control, hasEnded: (place) => parts.endpoints.hasEnded(place) })
    this.reachability = new Reachability(this.questions, parts.clock, parts.log, () => { this.lookSoon() })
    const { clock, lease, endpoints, control } = parts
    this.runner = new FormationRunner({ clock, lease, endpoints, control, questions: this.questions, reachability: this.reachability, find: (endpoint) => this.known.get(endpoint) ?? this.unlistedHeads.get(endpoint) })
    endpoints.registerListener((changed) => { this.noteEndpoints(changed) })
    parts.manifest.registerListener(() => { this.lookSoon() })
  }

  start (): void {
    this.schedule(LOOK_INTERVAL_MS)
  }

  stop (): void {
    this.stopped = true
    this.cancelLook()
  }

  /** Loads that this node has begun or been told of. */
  loadsUnderWay (): LoadUnderWay[] {
    return this.loads.underWay(this.parts.clock.nowMs())
  }

  /** What the deciding node has begun: its successor begins no loads beside these, which would slow all of them. */
  noteLoads (loads: readonly LoadUnderWay[]): void {
    if (!this.parts.lease.mayOrder()) this.loads.replace(loads, this.parts.clock.nowMs())
  }

  /** A caller's exchange suggests that a group stands still: each member that can be found is asked. */
  suspectGroup (head: EndpointId): void {
    const record = this.known.get(head)
    if (record === undefined || record.membership === null || !this.parts.lease.coordinates()) return
    const { membership } = record
    const members = [...this.known.values()].filter((other) => sameFormation(other, record))
    const asked = members.filter((member) => this.reachability.suspect(member))
    if (asked.length === 0) return
    this.parts.log.write(LogKind.GroupSuspected, { head, group: membership.group, asked: asked.length })
    this.parts.onSuspected(head)
  }

  /** Heads that take requests though their group has lost a member. */
  stoppedHeads (): EndpointId[] {
    if (!this.parts.knowsAll()) return []
    const models = this.parts.manifest.current?.manifest.services.flatMap(({ engine }) => engine?.models ?? []) ?? []
    const sizes = new Map(models.map(({ model, size }) => [model, size]))
    return stalledHeads(this.known.values(), sizes, ({ endpoint }) => !this.reachability.isUnreachable(endpoint))
  }

  private tellStopped (): void {
    const heads = this.stoppedHeads()
    const isNews = heads.some((head) => !this.toldStopped.has(head))
    this.toldStopped = new Set(heads)
    if (heads.length > 0) this.parts.onStopped(heads, isNews)
  }

  private noteEndpoints (endpoints: ReadonlyMap<EndpointId, EndpointRecord>): void {
    for (const [id, record] of this.known) {
      if (!endpoints.has(id) && isServingHead(record) && !this.parts.endpoints.hasEnded(record)) {
        this.unlistedHeads.set(id, record)
        if (this.parts.lease.mayOrder()) this.reachability.suspect(record)
      }
    }
    for (const id of endpoints.keys()) {
      this.unlistedHeads.delete(id)
      if (!this.known.has(id)) this.appearedAtMs = this.parts.clock.nowMs()
    }
    this.known = endpoints
    this.loads.retain(endpoints)
    this.questions.retain(endpoints)
    for (const record of endpoints.values()) this.loads.noteStaged(record)
    this.runner.noteList()
    this.lookSoon()
  }

  private lookSoon (): void {
    this.schedule(SETTLE_MS)
  }

  private schedule (delayMs: number): void {
    if (this.stopped) return
    this.cancelLook()
    this.cancelLook = this.parts.clock.registerTimer(delayMs, () => { this.look() })
  }

  private look (): void {
    this.schedule(LOOK_INTERVAL_MS)
    const { lease, manifest } = this.parts
    if (!lease.coordinates() || !this.parts.knowsAll() || manifest.current === null) return
    for (const head of this.unlistedHeads.keys()) {
      if (this.reachability.isUnreachable(head)) this.unlistedHeads.delete(head)
    }
    this.reachability.recheck(this.known, new Set(this.unlistedHeads.keys()))
    this.tellStopped()
    if (!lease.mayOrder()) return
    for (const service of manifest.current.manifest.services) {
      if (service.engine !== null) this.decide(service, service.engine)
    }
  }

  private decide (service: ServiceSpec, engine: EngineSpec): void {
    const { clock } = this.parts
    const endpoints = [...this.known.values()].filter((record) => record.service === service.service)
    const sound = endpoints.filter(({ leaving }) => !leaving).length
    const fullSize = Math.max(sound, this.fullSizes.get(service.service) ?? 0)
    this.fullSizes.set(service.service, fullSize)
    const decisions = planFormations({
      endpoints,
      unreachable: this.reachability.unreachable(),
      unlistedHeads: this.reachableUnlistedHeads(),
      engaged: this.engagedNow(),
      forming: [...this.forming].map((plan) => this.formingGroup(plan)),
      models: engine.models,
      demand: this.demandOf(engine),
      peakEndpoints: fullSize,
      loading: this.loads.loading(clock.nowMs()),
      loadAllowance: this.parts.trafficSeen() ? this.loads.allowance(engine, clock.nowMs()) : endpoints.length,
      mayLoadToForm: !this.parts.trafficSeen(),
      isFleetStable: clock.nowMs() - this.appearedAtMs >= SETTLED_MS,
      nextFormation: () => this.nextFormation()
    })
    for (const decision of decisions) this.begin(decision, engine)
    this.stateLog.note({
      service: service.service, engine, endpoints, unreachable: this.reachability.unreachable().size, engaged: this.engaged.size, forming: [...this.forming], demand: this.demandOf(engine)
    })
  }

  private engagedNow (): Set<EndpointId> {
    const engaged = new Set([...this.engaged.keys(), ...this.reachability.undecided()])
    for (const [head, record] of this.unlistedHeads) {
      const isDecided = this.reachability.isReachable(head) || this.reachability.isUnreachable(head)
      if (isDecided) continue
      for (const other of this.known.values()) {
        if (sameFormation(other, record)) engaged.add(other.endpoint)
      }
    }
    return engaged
  }

  private reachableUnlistedHeads (): Map<string, EndpointId> {
    const heads = new Map<string, EndpointId>()
    for (const [head, { membership }] of this.unlistedHeads) {
      if (this.reachability.isReachable(head)) heads.set(formationKey(membership!.group, membership!.formation), head)
    }
    return heads
  }

  private formingGroup ({ model, members }: FormationPlan): FormingGroup {
    const known = members.map((member) => this.known.get(member)?.fabricDomain).find((domain) => domain !== undefined && domain !== null)
    return { model, fabricDomain: known ?? '' }
  }

  /** Before callers have shown what they ask for, the operators' shares stand for it. */
  private demandOf (engine: EngineSpec): Map<ModelId, number> {
    const seen = this.parts.demand()
    const hasSeen = engine.models.every(({ model }) => seen.has(model))
    return new Map(engine.models.map((spec) => [spec.model, hasSeen ? seen.get(spec.model)! * spec.pace : spec.share / spec.size]))
  }

  private nextFormation (): number {
    this.formations += 1
    return this.parts.lease.fencing! * FORMATIONS_PER_TERM + this.formations
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
    const trail = new FormationTrail()
    const end = await this.runner.run(plan, trail)
    log.write(LogKind.FormationEnded, { group: plan.group, model: plan.model, end, tookMs: Math.round(clock.nowMs() - startedAtMs), steps: trail.steps })
    if (end === FormationOutcome.Opened) await this.runner.untilListedOpen(plan)
    else await sleep(clock, FAILED_PLAN_PAUSE_MS)
    this.forming.delete(plan)
    for (const member of plan.members) this.engaged.delete(member)
    this.lookSoon()
  }

  /** Where a member is taken to be, and who said so how long ago. */
  private describeMember (member: EndpointId): string {
    const record = this.known.get(member)
    const word = this.parts.endpoints.lastWord(member)
    if (record === undefined || word === undefined) return `${member}: unknown`
    return `${member} at ${record.address}: ${describePlace(record.membership)}, by ${word.source} ${Math.round(this.parts.clock.nowMs() - word.atMs)} ms ago`
  }

  private async stage (endpoint: EndpointId, model: ModelId, engine: EngineSpec): Promise<void> {
    const spec = engine.models.find((candidate) => candidate.model === model)!
    this.loads.begin(endpoint, spec, this.parts.clock.nowMs())
    const [reply] = await this.runner.sendOrders([{ endpoint, order: { kind: EndpointOrderKind.Stage, model }, expectedOrderCount: null }])
    this.parts.log.write(LogKind.HostStaged, { endpoint, model, reply })
    if (reply === OrderReply.Unfit || reply === OrderReply.Elsewhere || reply === OrderReply.Unreachable) this.loads.drop(endpoint)
    if (reply === OrderReply.Unanswered) this.loads.doubt(endpoint, this.parts.clock.nowMs())
  }

  private beginLoads (plan: FormationPlan, engine: EngineSpec): void {
    const spec = engine.models.find(({ model }) => model === plan.model)!
    for (const member of plan.members) {
      if (this.known.get(member)?.staged.includes(plan.model) !== true) this.loads.begin(member, spec, this.parts.clock.nowMs())
    }
  }
}

function sameFormation (left: EndpointRecord, right: EndpointRecord): boolean {
  return left.membership !== null && right.membership !== null && left.membership.group === right.membership.group && left.membership.formation === right.membership.formation
}
