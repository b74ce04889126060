import { HashRing } from './HashRing.js'
import { LoadEstimator } from './LoadEstimator.js'
import type { RoutingOptions } from './RoutingOptions.js'
import type { TargetRecord } from './TargetRecord.js'

/**
 * All targets of one model or of one service, with their shared hash ring and load estimator. A lane is replaced
 * when its set of targets changes; the target records are reused in the new lane.
 */
export class Lane {
  readonly estimator: LoadEstimator
  private cachedRing: HashRing | null = null

  /** `previous` is the lane that this one replaces; its mean request duration is carried over. */
  constructor (readonly records: readonly TargetRecord[], private readonly options: RoutingOptions, previous?: Lane) {
    this.estimator = new LoadEstimator(records, options, previous?.estimator.meanDurationMs)
  }

  get ring (): HashRing {
    this.cachedRing ??= new HashRing(this.records)
    return this.cachedRing
  }

  /**
   * Ejects the target unless the maximum share of the lane is ejected already: when many targets fail at once, the
   * cause is probably not the targets themselves.
   */
  ejectIfAllowed (record: TargetRecord, nowMs: number): void {
    const usable = this.records.filter((one) => !one.target.leaving && one.target.evidenceExpiresAtMs > nowMs)
    const ejected = usable.filter((one) => one.health.isEjected(nowMs)).length
    const maxEjected = usable.length < 2 ? 0 : Math.max(1, Math.floor(usable.length * this.options.maxEjectedShare))
    if (ejected < maxEjected) record.health.eject(nowMs)
  }
}
