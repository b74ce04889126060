import { InFlightHistory } from './InFlightHistory.js'
import { PrefixIndex } from './PrefixIndex.js'
import type { RouteTarget } from './RouteTarget.js'
import type { RoutingOptions } from './RoutingOptions.js'
import { TargetHealth } from './TargetHealth.js'

/** One target with what this node itself knows of it. Lives as long as the target's id is known. */
export class TargetRecord {
  readonly inFlight = new InFlightHistory()
  readonly health: TargetHealth
  readonly prefixes: PrefixIndex

  constructor (public target: RouteTarget, options: RoutingOptions, nowMs: number, startsWithRamp: boolean) {
    this.health = new TargetHealth(options, nowMs, startsWithRamp)
    this.prefixes = new PrefixIndex(options)
  }

  /**
   * Requests of other nodes at the target when its load was read, as far as the report tells: what it reported
   * less what this node had there at the time.
   */
  reportedOtherRequests (): number {
    const { running, waiting } = this.target.load
    return Math.max(0, running + waiting - this.inFlight.countAt(this.loadReadAtMs()))
  }

  /** When the load was read, on this node's clock. */
  loadReadAtMs (): number {
    return this.target.loadRequestedAtMs - this.target.load.ageMs
  }

  capacity (): number {
    return Math.max(1, this.target.load.capacity)
  }
}
