import { InFlightHistory } from './InFlightHistory.js'
import { PrefixIndex } from './PrefixIndex.js'
import type { RouteTarget } from './RouteTarget.js'
import type { RoutingOptions } from './RoutingOptions.js'
import { TargetHealth } from './TargetHealth.js'

/** A target with this node's own measurements of it. Kept as long as the id is in the router's set of targets. */
export class TargetRecord {
  readonly inFlight = new InFlightHistory()
  readonly health: TargetHealth
  readonly prefixes: PrefixIndex

  constructor (public target: RouteTarget, options: RoutingOptions, nowMs: number, startsWithRamp: boolean) {
    this.health = new TargetHealth(options, nowMs, startsWithRamp)
    this.prefixes = new PrefixIndex(options)
  }

  /**
   * Requests of other nodes at the target when its load was measured: the reported number minus this node's own
   * requests in flight at that time.
   */
  reportedOtherRequests (): number {
    const { running, waiting } = this.target.load
    return Math.max(0, running + waiting - this.inFlight.countAt(this.loadReadAtMs()))
  }

  /** When the load was measured, on this node's clock. */
  loadReadAtMs (): number {
    return this.target.loadRequestedAtMs - this.target.load.ageMs
  }

  capacity (): number {
    return Math.max(1, this.target.load.capacity)
  }
}
