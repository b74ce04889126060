import { shareLoadBudget, type FabricDomainId, type LoadBudget, type PlannedIntent, type ReplicaAllocation, type VmRecord, type WeightStoreRate } from 'dotterelspur'
import { assignmentDocuments } from '../version/FleetDocuments.js'
import { allocate, loadDemands, plannedIntents, type SharedFacts } from '../version/FabricIntents.js'
import { BrokenGroups } from './BrokenGroups.js'
import type { FleetOptions } from './FleetOptions.js'

interface Computed {
  readonly atMs: number
  readonly facts: SharedFacts
  readonly allocation: ReplicaAllocation
}

/** What follows from the facts that all controllers share: reckoned once for all fabric domains that tick together. */
export class IntentShares {
  private computed: Computed | null = null
  private readonly broken: BrokenGroups

  constructor (
    private readonly options: FleetOptions, private readonly reuseMs: number, lostAfterMs: number, private readonly rate: WeightStoreRate,
    private readonly records: () => readonly VmRecord[]
  ) {
    this.broken = new BrokenGroups(options.clock, lostAfterMs)
  }

  intents (fabricDomain: FabricDomainId): readonly PlannedIntent[] {
    const { facts, allocation } = this.current()
    return plannedIntents(facts, allocation, fabricDomain)
  }

  loadBudget (fabricDomain: FabricDomainId): LoadBudget {
    return shareLoadBudget(this.rate, loadDemands(this.current().facts), fabricDomain)
  }

  allocation (): ReplicaAllocation {
    return this.current().allocation
  }

  private current (): Computed {
    const nowMs = this.options.clock.nowMs()
    if (this.computed !== null && nowMs - this.computed.atMs < this.reuseMs) return this.computed
    const assignments = assignmentDocuments(this.options.mesh).map(({ body }) => body)
    this.broken.note(assignments)
    const facts: SharedFacts = { teams: this.options.settings(), records: this.records(), assignments, isLost: (group) => this.broken.isLost(group) }
    this.computed = { atMs: nowMs, facts, allocation: allocate(facts) }
    return this.computed
  }
}
