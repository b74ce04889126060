import type { Decision, GroupId, GroupPresence } from 'dotterelspur'
import type { FleetOptions } from './FleetOptions.js'
import type { FleetTiming } from './FleetTiming.js'
import type { IntentShares } from './IntentShares.js'
import type { OrderSender } from './OrderSender.js'
import type { Prober } from './Prober.js'
import type { VmListPoller } from './VmListPoller.js'

/** State and services that the controllers of one node share. */
export interface FleetContext {
  readonly options: FleetOptions
  readonly timing: FleetTiming
  readonly prober: Prober
  readonly orders: OrderSender
  readonly vmList: VmListPoller
  readonly shares: IntentShares
  /** The freshest evidence of each group, from the mesh. */
  presence (): ReadonlyMap<GroupId, GroupPresence>
  /** The VMs and groups that operators are draining. */
  drained (): ReadonlySet<string>
  record (decisions: readonly Decision[]): void
}
