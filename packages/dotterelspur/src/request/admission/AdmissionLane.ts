import { PriorityClass } from '../../connection/EngineApi.js'
import type { TeamId } from '../../process/ids.js'
import { AdaptiveLimit } from './AdaptiveLimit.js'
import type { AdmissionOptions } from './AdmissionOptions.js'
import { ClassQueue, type QueuedRequest } from './ClassQueue.js'
import { FairShare } from './FairShare.js'
import { RetryAfterPacer } from './RetryAfterPacer.js'

export const PRIORITY_CLASSES: readonly PriorityClass[] = [PriorityClass.Interactive, PriorityClass.Standard, PriorityClass.Bulk]

const RUN_TIME_SMOOTHING = 0.05
const MIN_RETRY_AFTER_MS = 500
const DEFAULT_INTERVAL_MS = 100

/** The queues and the concurrency limit of one lane at this node. */
export class AdmissionLane {
  readonly limit: AdaptiveLimit
  readonly queues: Readonly<Record<PriorityClass, ClassQueue>>
  private readonly running: Record<PriorityClass, number>
  private readonly retryPacers: Readonly<Record<PriorityClass, RetryAfterPacer>>
  private readonly share = new FairShare<PriorityClass>()
  private meanRunMs: number | null = null
  /** Factor on the limit, 0 to 1, lowered while slow callers fill the buffers; see AdmissionController.setBufferUsage. */
  limitFactor = 1

  constructor (private readonly options: AdmissionOptions) {
    this.limit = new AdaptiveLimit(options.limit, options.initialConcurrency)
    this.queues = byClass(() => new ClassQueue())
    this.running = byClass(() => 0)
    this.retryPacers = byClass(() => new RetryAfterPacer())
  }

  get runningCount (): number {
    return PRIORITY_CLASSES.reduce((sum, priority) => sum + this.running[priority], 0)
  }

  /**
   * Removes and returns the next request that may be dispatched: weighted fair between classes, then fair between
   * teams.
   */
  next (mayRun: (team: TeamId) => boolean): QueuedRequest | undefined {
    if (this.runningCount >= this.effectiveLimit()) return undefined
    const ready = PRIORITY_CLASSES.filter((priority) => this.queues[priority].length > 0 && this.hasCapacity(priority) && this.queues[priority].hasRunnable(mayRun))
    const priority = this.share.next(ready)
    if (priority === undefined) return undefined
    this.share.charge(priority, 1, this.options.classWeight[priority])
    this.running[priority]++
    return this.queues[priority].pop(mayRun)
  }

  recordFinished (priority: PriorityClass, runMs: number): void {
    this.running[priority]--
    this.meanRunMs = this.meanRunMs === null ? runMs : this.meanRunMs + RUN_TIME_SMOOTHING * (runMs - this.meanRunMs)
  }

  /**
   * Expected wait of a request queued now: the requests of its class queued before it times the interval between
   * dispatches. Null until a request has finished.
   */
  expectedWaitMs (priority: PriorityClass): number | null {
    const intervalMs = this.intervalMs(priority)
    if (intervalMs === null) return null
    const queuedAhead = this.queues[priority].length
    return queuedAhead === 0 && this.runningCount < this.effectiveLimit() ? 0 : queuedAhead * intervalMs
  }

  /** Retry-After for the next shed caller of the class. */
  nextRetryAfterMs (priority: PriorityClass, nowMs: number): number {
    const intervalMs = this.intervalMs(priority) ?? DEFAULT_INTERVAL_MS
    const waitMs = Math.max(MIN_RETRY_AFTER_MS, this.queues[priority].length * intervalMs)
    return this.retryPacers[priority].nextDelayMs(waitMs, intervalMs, nowMs)
  }

  /** Expected interval between two dispatches of the class while the classes that have queued requests now keep them. */
  private intervalMs (priority: PriorityClass): number | null {
    if (this.meanRunMs === null) return null
    const { classWeight } = this.options
    const contending = PRIORITY_CLASSES.filter((other) => other === priority || this.queues[other].length > 0)
    const weights = contending.reduce((sum, other) => sum + classWeight[other], 0)
    return this.meanRunMs / this.effectiveLimit() * weights / classWeight[priority]
  }

  /**
   * Whether the class may dispatch. A lower class leaves part of the limit free for requests of higher classes, counted
   * over all running requests: a separate share per class would not keep it free, since the limit adapts and the class
   * would fill it again. The floor of the class prevents its starvation.
   */
  private hasCapacity (priority: PriorityClass): boolean {
    const { classShare, classFloor } = this.options
    const limit = this.effectiveLimit()
    return this.runningCount < Math.max(1, Math.floor(limit * classShare[priority])) ||
      this.running[priority] < Math.max(1, Math.floor(limit * classFloor[priority]))
  }

  private effectiveLimit (): number {
    return Math.max(1, Math.floor(this.limit.value * this.limitFactor))
  }
}

function byClass<Value> (create: () => Value): Record<PriorityClass, Value> {
  return { [PriorityClass.Interactive]: create(), [PriorityClass.Standard]: create(), [PriorityClass.Bulk]: create() }
}
