import type { CacheEvent, Clock, Teardown } from 'dotterelspur'
import { PrefixCache } from './PrefixCache.js'

/**
 * The cost of one step of an engine with continuous batching. Chosen so that a full engine steps in about 26 ms,
 * which is the bound for 95 in 100 inter-token gaps; not measured on hardware.
 */
export interface EngineShape {
  /** Sequences that decode side by side. */
  readonly slots: number
  readonly stepBaseMs: number
  readonly stepMsPerSequence: number
  readonly stepMsPerPrefillToken: number
  /** Prefill tokens that one step takes at most. */
  readonly prefillTokensPerStep: number
  /** Tokens of prompt prefixes that the cache holds. */
  readonly cacheTokens: number
}

export const DEFAULT_ENGINE_SHAPE: EngineShape = {
  slots: 64,
  stepBaseMs: 14,
  stepMsPerSequence: 0.1,
  stepMsPerPrefillToken: 0.012,
  prefillTokensPerStep: 512,
  cacheTokens: 40_000
}

/** One attempt as the engine runs it. */
export interface EngineJob {
  readonly prefixHashes: readonly number[]
  /** Tokens to compute before the first one comes, those of `prefixHashes` included. */
  readonly promptTokens: number
  readonly outputTokens: number
  /** Lower goes first. */
  readonly priorityRank: number
  readonly onFirstToken: () => void
  readonly onEnd: (whole: boolean, tokens: number) => void
}

interface Running {
  readonly job: EngineJob
  prefillLeft: number
  firstTokenStep: number
}

/** A small model of one group's engine: slots, chunked prefill, decode in steps, a prefix cache. Test equipment. */
export class EngineModel {
  readonly cache: PrefixCache
  alive = true
  /** Greater than 1 makes every step that much longer. */
  slowness = 1
  /** Engine time spent on prefill and decode, for shares of wasted work. */
  workMs = 0
  hitTokens = 0
  promptTokens = 0
  private readonly waiting: EngineJob[] = []
  private readonly prefilling: Running[] = []
  private readonly decoding = new Map<number, Running[]>()
  private decodingCount = 0
  private step = 0
  private stopStep: Teardown | null = null

  constructor (
    private readonly clock: Clock,
    private readonly shape: EngineShape,
    private readonly onStep: (stepMs: number, sequences: number) => void
  ) {
    this.cache = new PrefixCache(shape.cacheTokens)
  }

  get running (): number {
    return this.prefilling.length + this.decodingCount
  }

  get queued (): number {
    return this.waiting.length
  }

  /** Prefill tokens that stand before a new job, its own not counted. */
  get prefillBacklog (): number {
    return this.prefilling.reduce((sum, running) => sum + running.prefillLeft, 0)
  }

  get slots (): number {
    return this.shape.slots
  }

  submit (job: EngineJob): void {
    const behind = this.waiting.findIndex((other) => other.priorityRank > job.priorityRank)
    if (behind < 0) this.waiting.push(job)
    else this.waiting.splice(behind, 0, job)
    this.startStep()
  }

  /** Loses everything that runs and waits, as the loss of a member VM does. */
  die (): void {
    this.alive = false
    this.stopStep?.()
    this.stopStep = null
    const lost = [...this.prefilling, ...[...this.decoding.values()].flat()]
    const queued = this.waiting.splice(0)
    this.prefilling.length = 0
    this.decoding.clear()
    this.decodingCount = 0
    for (const running of lost) running.job.onEnd(false, this.tokensOf(running))
    for (const job of queued) job.onEnd(false, 0)
  }

  /** Serves again, with an empty cache. */
  revive (): void {
    this.alive = true
    this.cache.clear()
  }

  cacheEvents (): readonly CacheEvent[] {
    return this.cache.takeEvents()
  }

  private tokensOf (running: Running): number {
    return running.prefillLeft > 0 ? 0 : this.step - running.firstTokenStep + 1
  }

  private startStep (): void {
    if (this.stopStep !== null || !this.alive) return
    this.fillSlots()
    if (this.running === 0) return
    const chunk = this.planPrefill()
    const sequences = this.decodingCount
    const chunkTokens = chunk.reduce((sum, part) => sum + part.tokens, 0)
    const { stepBaseMs, stepMsPerSequence, stepMsPerPrefillToken } = this.shape
    const stepMs = (stepBaseMs + sequences * stepMsPerSequence + chunkTokens * stepMsPerPrefillToken) * this.slowness
    this.stopStep = this.clock.registerTimer(stepMs, () => {
      this.stopStep = null
      this.workMs += stepMs
      if (sequences > 0) this.onStep(stepMs, sequences)
      this.finishStep(chunk)
      this.startStep()
    })
  }

  private fillSlots (): void {
    while (this.running < this.shape.slots && this.waiting.length > 0) {
      const job = this.waiting.shift()!
      const held = this.cache.use(job.prefixHashes)
      this.hitTokens += held
      this.promptTokens += job.promptTokens
      this.prefilling.push({ job, prefillLeft: Math.max(1, job.promptTokens - held), firstTokenStep: 0 })
    }
  }

  private planPrefill (): Array<{ running: Running, tokens: number }> {
    let budget = this.shape.prefillTokensPerStep
    const plan: Array<{ running: Running, tokens: number }> = []
    for (const running of this.prefilling) {
      if (budget === 0) break
      const tokens = Math.min(budget, running.prefillLeft)
      plan.push({ running, tokens })
      budget -= tokens
    }
    return plan
  }

  private finishStep (plan: ReadonlyArray<{ running: Running, tokens: number }>): void {
    this.step++
    const ended = this.decoding.get(this.step) ?? []
    this.decoding.delete(this.step)
    this.decodingCount -= ended.length
    for (const running of ended) running.job.onEnd(true, running.job.outputTokens)
    for (const { running, tokens } of plan) {
      running.prefillLeft -= tokens
      if (running.prefillLeft === 0) this.startDecoding(running)
    }
  }

  private startDecoding (running: Running): void {
    this.prefilling.splice(this.prefilling.indexOf(running), 1)
    running.firstTokenStep = this.step
    this.cache.store(running.job.prefixHashes)
    running.job.onFirstToken()
    if (running.job.outputTokens <= 1) {
      running.job.onEnd(true, 1)
      return
    }
    const lastStep = this.step + running.job.outputTokens - 1
    const sameStep = this.decoding.get(lastStep) ?? []
    sameStep.push(running)
    this.decoding.set(lastStep, sameStep)
    this.decodingCount++
  }
}
