import type { Clock, EngineApi, MeshApi, ObjectStore, PauseDetector, Random, RetryBudget, Router, ServiceApi } from 'dotterelspur'
import type { AdmissionGate } from './AdmissionGate.js'
import type { EntryLimits, EntryTiming } from './EntryOptions.js'
import type { EntryObserver } from './EntryObserver.js'
import type { FleetView } from './FleetView.js'
import type { PoisonTracker } from './PoisonTracker.js'
import type { TeamTable } from './TeamTable.js'

/** Dependencies shared by the components of one entry; created once by createEntry. */
export interface EntryContext {
  readonly clock: Clock
  readonly random: Random
  readonly mesh: MeshApi
  readonly store: ObjectStore
  readonly engines: EngineApi
  readonly services: ServiceApi
  readonly limits: EntryLimits
  readonly timing: EntryTiming
  readonly observer: EntryObserver
  readonly teams: TeamTable
  readonly fleet: FleetView
  readonly gate: AdmissionGate
  readonly router: Router
  readonly retries: RetryBudget
  readonly pauses: PauseDetector
  readonly poison: PoisonTracker
}
