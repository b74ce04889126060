export interface AdaptiveLimitOptions {
  /**
   * A first token is late, a sign of requests queueing at the endpoints, above this time and above `lateRatio` times
   * the baseline.
   */
  readonly lateFirstTokenMs: number
  readonly lateRatio: number
  /** Share of late first tokens in a window above which the window counts as congested. */
  readonly lateShare: number
  /** A window ends once it has lasted this long and has at least `windowSamples` first tokens. */
  readonly windowMs: number
  readonly windowSamples: number
  /** Factor applied to the limit on congestion. */
  readonly decreaseFactor: number
  /**
   * Factors applied after a window without congestion in which the limit was in use; the fast one once `fastAfterMs`
   * has passed since the last decrease.
   */
  readonly increaseFactor: number
  readonly fastIncreaseFactor: number
  readonly fastAfterMs: number
  /** The limit starts at this multiple of the node's even share of the capacity. */
  readonly startFactor: number
}

export const DEFAULT_ADAPTIVE_LIMIT_OPTIONS: AdaptiveLimitOptions = {
  lateFirstTokenMs: 600,
  lateRatio: 3,
  lateShare: 0.1,
  windowMs: 1_000,
  windowSamples: 10,
  decreaseFactor: 0.9,
  increaseFactor: 1.02,
  fastIncreaseFactor: 1.15,
  fastAfterMs: 10_000,
  startFactor: 1.25
}

const BASELINE_FALL_WEIGHT = 0.1
/**
 * Time constant with which the baseline time to first token rises; it falls per sample with `BASELINE_FALL_WEIGHT`. If
 * it rose quickly, or per sample, the delay of a growing or lasting queue would become the baseline, the first
 * tokens would no longer count as late, and the limit would grow while requests queue.
 */
const BASELINE_RISE_MS = 300_000
const IN_USE_SHARE = 0.8
const MIN_START_LIMIT = 2

/**
 * Adaptive limit on the concurrent requests of this node in one lane.
 *
 * Nodes share the endpoints' capacity without a common counter. A fixed share per node is too small when callers use
 * few of the nodes, and a large one lets requests queue at the endpoints, where they can no longer be shed with proof
 * that they did not run. Such queueing shows as late first tokens. A window with too many of them, or a refusal by an
 * endpoint for lack of capacity, lowers the limit; a window without congestion in which the limit was in use raises
 * it. Nodes that share an endpoint observe the same congestion and converge to even shares.
 */
export class AdaptiveLimit {
  private limit: number
  private capacity = 0
  private nodes = 1
  private baselineMs: number | null = null
  private lastSampleAtMs: number | null = null
  private lastDecreaseAtMs = -Infinity
  private window = { sinceMs: -Infinity, samples: 0, late: 0, used: false }

  constructor (private readonly options: AdaptiveLimitOptions, initial: number) {
    this.limit = initial
  }

  get value (): number {
    return Math.max(1, Math.floor(this.limit))
  }

  /**
   * Sets the endpoints' capacity and the number of nodes that share it. The limit is scaled with the node's even share.
   */
  configure (capacity: number, nodes: number): void {
    if (capacity === this.capacity && nodes === this.nodes) return
    const previousShare = this.capacity / this.nodes
    const newShare = capacity / Math.max(1, nodes)
    this.limit = previousShare === 0 ? Math.max(MIN_START_LIMIT, newShare * this.options.startFactor) : this.limit * newShare / previousShare
    this.capacity = capacity
    this.nodes = Math.max(1, nodes)
    this.clamp()
  }

  /**
   * Records a time to first token. `running` is the lane's number of running requests; the limit grows only while in
   * use.
   */
  recordFirstToken (firstTokenMs: number, running: number, nowMs: number): void {
    const { lateFirstTokenMs, lateRatio, windowMs, windowSamples } = this.options
    const baselineMs = this.baselineMs ?? firstTokenMs
    const isLate = firstTokenMs > lateFirstTokenMs && firstTokenMs > lateRatio * baselineMs
    const passedMs = Math.max(0, nowMs - (this.lastSampleAtMs ?? nowMs))
    const weight = firstTokenMs < baselineMs ? BASELINE_FALL_WEIGHT : 1 - Math.exp(-passedMs / BASELINE_RISE_MS)
    this.lastSampleAtMs = nowMs
    this.baselineMs = baselineMs + weight * (firstTokenMs - baselineMs)
    const { window } = this
    window.samples++
    window.late += isLate ? 1 : 0
    window.used ||= running >= IN_USE_SHARE * this.value
    if (window.samples >= windowSamples && nowMs - window.sinceMs >= windowMs) this.closeWindow(nowMs)
  }

  /**
   * Records that an endpoint refused for lack of capacity. Lowers the limit at once, but only once per window, since
   * one congestion causes many refusals.
   */
  recordCongestion (nowMs: number): void {
    if (nowMs - this.lastDecreaseAtMs < this.options.windowMs) return
    this.decrease(nowMs)
  }

  private closeWindow (nowMs: number): void {
    const { late, samples, used } = this.window
    const { lateShare, increaseFactor, fastIncreaseFactor, fastAfterMs } = this.options
    this.window = { sinceMs: nowMs, samples: 0, late: 0, used: false }
    if (late > lateShare * samples) return this.decrease(nowMs)
    if (!used) return
    this.limit *= nowMs - this.lastDecreaseAtMs > fastAfterMs ? fastIncreaseFactor : increaseFactor
    this.clamp()
  }

  private decrease (nowMs: number): void {
    this.lastDecreaseAtMs = nowMs
    this.limit *= this.options.decreaseFactor
    this.clamp()
  }

  /** Keeps the limit between half the even share, so that no node is starved, and the whole capacity. */
  private clamp (): void {
    if (this.capacity === 0) return
    const minLimit = Math.max(1, this.capacity / this.nodes / 2)
    this.limit = Math.min(Math.max(this.limit, minLimit), Math.max(this.capacity, 1))
  }
}
