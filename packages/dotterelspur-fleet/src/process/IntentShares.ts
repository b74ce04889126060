import {
  shareLoadBudget, type FabricDomainId, type GroupId, type GroupPresence, type LoadBudget, type PlannedIntent, type UnmetIntent, type VmRecord, type WeightStoreRate
} from 'dotterelspur'
import { assignmentDocuments } from '../version/FleetDocuments.js'
import { loadDemands, planIntents, plannedIntents, type IntentPlan, type SharedState } from '../version/FabricIntents.js'
import type { FleetOptions } from './FleetOptions.js'
import type { FleetTiming } from './FleetTiming.js'
import { GroupAges } from './GroupAges.js'

interface Computed {
  readonly atMs: number
  readonly state: SharedState
  readonly plan: IntentPlan
}

export interface IntentSources {
  readonly records: () => readonly VmRecord[]
  readonly presence: () => ReadonlyMap<GroupId, GroupPresence>
}

/** Used when the node's settings don't state the weight store's rate. */
const DEFAULT_WEIGHT_RATE: WeightStoreRate = { loadsPerMinute: 60, burst: 32 }
/** Forming a group at a new version counts as failed after this many times the expected time to load and join. */
const FORM_TIMEOUT_LOADS = 4

/** Each fabric domain's intents and load budget, computed from the shared state once for all fabric domains that tick at about the same time. */
export class IntentShares {
  private computed: Computed | null = null
  private readonly ages: GroupAges

  constructor (private readonly options: FleetOptions, private readonly timing: FleetTiming, private readonly sources: IntentSources) {
    this.ages = new GroupAges(options.clock, timing.planning.longestWaitMs, timing.evidenceTtlMs)
  }

  intents (fabricDomain: FabricDomainId): readonly PlannedIntent[] {
    const { state, plan } = this.current()
    return plannedIntents(state, plan, fabricDomain)
  }

  loadBudget (fabricDomain: FabricDomainId): LoadBudget {
    return shareLoadBudget(this.options.weightStoreRate ?? DEFAULT_WEIGHT_RATE, loadDemands(this.current().state), fabricDomain)
  }

  /** Intents that no fabric domain has capacity for, with the intents that took precedence. */
  unmet (): readonly UnmetIntent[] {
    return this.computed?.plan.allocation.unmet ?? []
  }

  private current (): Computed {
    const { clock, mesh, settings, errorPercent } = this.options
    const nowMs = clock.nowMs()
    if (this.computed !== null && nowMs - this.computed.atMs < this.timing.controllerIntervalMs / 2) return this.computed
    const assignments = assignmentDocuments(mesh).map(({ body }) => body)
    this.ages.update(assignments, this.sources.presence())
    const { planning } = this.timing
    const state: SharedState = {
      wallMs: clock.wallMs(),
      teams: settings(),
      records: this.sources.records(),
      assignments,
      measurements: {
        isLost: (group) => this.ages.isLost(group),
        formingForMs: (group) => this.ages.formingForMs(group),
        healthyForMs: (group) => this.ages.healthyForMs(group),
        errorPercent: errorPercent ?? (() => null)
      },
      formTimeoutMs: FORM_TIMEOUT_LOADS * (planning.loadMs + planning.joinMs)
    }
    this.computed = { atMs: nowMs, state, plan: planIntents(state) }
    return this.computed
  }
}
