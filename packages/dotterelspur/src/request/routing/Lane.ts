import { HashRing } from './HashRing.js'
import { LoadEstimator } from './LoadEstimator.js'
import type { RoutingOptions } from './RoutingOptions.js'
import type { TargetRecord } from './TargetRecord.js'

/**
 * All targets of one model, or of one service, with what is computed over them together. Replaced whenever the
 * set of targets changes; the records in it go on.
 */
export class Lane {
  readonly estimator: LoadEstimator
  private cachedRing: HashRing | null = null

  /** `before` is the lane that this one replaces: what was learnt of requests as such goes on. */
  constructor (readonly records: readonly TargetRecord[], private readonly options: RoutingOptions, previous?: Lane) {
    this.estimator = new LoadEstimator(records, options, previous?.estimator.meanDurationMs)
  }

  get ring (): HashRing {
    this.cachedRing ??= new HashRing(this.records)
    return this.cachedRing
  }

  /** Ejects the target unless that would leave too few: with many bad ones at once the cause is likely elsewhere. */
  ejectIfAllowed (record: TargetRecord, nowMs: number): void {
    const usable = this.records.filter((one) => !one.target.leaving && one.target.evidenceExpiresAtMs > nowMs)
    const ejected = usable.filter((one) => one.health.isEjected(nowMs)).length
    const maxEjected = usable.length < 2 ? 0 : Math.max(1, Math.floor(usable.length * this.options.maxEjectedShare))
    if (ejected < maxEjected) record.health.eject(nowMs)
  }
}
