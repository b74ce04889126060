export interface AdaptiveLimitOptions {
  /** A first token later than this, and later than `lateRatio` times the usual, counts as late: work waits at the endpoints. */
  readonly lateFirstTokenMs: number
  readonly lateRatio: number
  /** More late ones than this share of a window's are a sign of congestion. */
  readonly lateShare: number
  /** A window ends after this long, with at least so many first tokens. */
  readonly windowMs: number
  readonly windowSamples: number
  /** Factor on the limit after a window with congestion. */
  readonly decreaseFactor: number
  /** Factor after a window in which the limit was in use, soon after and long after a congestion. */
  readonly increaseFactor: number
  readonly fastIncreaseFactor: number
  readonly fastAfterMs: number
  /** The limit starts at this many times the node's even share of the capacity. */
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
 * The usual first token falls with the samples and rises with time, over minutes: followed closely, or by the count
 * of samples, a queue that builds up or lasts would become the usual and the limit would grow into it.
 */
const BASELINE_RISE_MS = 300_000
const IN_USE_SHARE = 0.8
const MIN_START_LIMIT = 2

/**
 * How many requests this node may have under way at once in a lane.
 *
 * The endpoints' capacity is shared by nodes that don't count together. A fixed share per node is too small where
 * callers come through few nodes, and a large one lets work pile up at the endpoints, where it can no longer be
 * shed truthfully. That shows as late first tokens. So a window with too many late ones, or a refusal for lack of
 * room, lowers the limit, and a window in which a full limit made none late raises it. Nodes that share an
 * endpoint see the same signs and come to even shares.
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

  /** Takes in the endpoints' capacity and the number of nodes that share it; the limit keeps its proportion. */
  configure (capacity: number, nodes: number): void {
    if (capacity === this.capacity && nodes === this.nodes) return
    const previousShare = this.capacity / this.nodes
    const newShare = capacity / Math.max(1, nodes)
    this.limit = previousShare === 0 ? Math.max(MIN_START_LIMIT, newShare * this.options.startFactor) : this.limit * newShare / previousShare
    this.capacity = capacity
    this.nodes = Math.max(1, nodes)
    this.clamp()
  }

  /** A first token came. `running` tells whether the limit was in use: only then may it grow. */
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

  /** An endpoint had no room. Counts at once, but once per window: the signs of one congestion come together. */
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

  /** Between half an even share, so that no node is starved, and all of the capacity. */
  private clamp (): void {
    if (this.capacity === 0) return
    const minLimit = Math.max(1, this.capacity / this.nodes / 2)
    this.limit = Math.min(Math.max(this.limit, minLimit), Math.max(this.capacity, 1))
  }
}
