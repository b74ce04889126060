import { PriorityClass } from 'dotterelspur'
import type { Clock, LoadReport, Teardown } from 'dotterelspur'
import type { EngineRun } from '../../request/EngineRun.js'
import type { EngineSettings } from './EngineSettings.js'
import { GroupCondition } from './GroupHealth.js'
import type { GroupHealth } from './GroupHealth.js'

const RANK: Readonly<Record<PriorityClass, number>> = {
  [PriorityClass.Interactive]: 0,
  [PriorityClass.Standard]: 1,
  [PriorityClass.Bulk]: 2
}

interface DatedLoad {
  readonly atMs: number
  readonly running: number
  readonly waiting: number
}

/** The parts of an engine on which its batch depends. */
export interface BatchHost {
  paused (): boolean
  health (): GroupHealth
  /** Time to read the uncached part of the run's prompt. */
  prefillMs (run: EngineRun): number
  /** Called when a member is lost while requests run. */
  onBroken (): void
}

/** Continuous batching: each step generates the next tokens of all running requests; steps slow down above the capacity. */
export class BatchScheduler {
  private running: EngineRun[] = []
  private waiting: EngineRun[] = []
  private cancelStep: Teardown | undefined
  private history: DatedLoad[] = []

  constructor (private readonly settings: EngineSettings, private readonly clock: Clock, private readonly host: BatchHost) {}

  get full (): boolean {
    return this.running.length >= this.settings.maxRunning && this.waiting.length >= this.settings.maxWaiting
  }

  submit (run: EngineRun): void {
    this.waiting.push(run)
    this.waiting.sort((left, right) => RANK[left.request.priority] - RANK[right.request.priority])
    this.admit()
    this.noteLoad()
    this.schedule()
  }

  /** Ends all runs as lost. */
  dieAll (): void {
    const lost = [...this.running, ...this.waiting]
    this.running = []
    this.waiting = []
    for (const run of lost) run.die()
    this.noteLoad()
  }

  /** The load `loadLagMs` ago. */
  load (cacheUsed: number): LoadReport {
    const nowMs = this.clock.nowMs()
    const asOfMs = nowMs - this.settings.loadLagMs
    const reading = this.history.findLast((entry) => entry.atMs <= asOfMs)
    return {
      running: reading?.running ?? 0,
      waiting: reading?.waiting ?? 0,
      capacity: this.settings.capacity,
      cacheUsed,
      ageMs: this.settings.loadLagMs
    }
  }

  private admit (): void {
    while (this.running.length < this.settings.maxRunning && this.waiting.length > 0) {
      const run = this.waiting.shift()!
      run.firstTokenAtMs = this.clock.nowMs() + this.host.prefillMs(run)
      this.running.push(run)
    }
  }

  private schedule (): void {
    if (this.cancelStep !== undefined || this.running.length === 0) return
    const slowdown = Math.max(1, this.running.length / this.settings.capacity)
    const stepMs = this.settings.tokenMs * slowdown + this.host.health().straggleMs
    this.cancelStep = this.clock.registerTimer(stepMs, () => {
      this.cancelStep = undefined
      this.step()
      this.schedule()
    })
  }

  private step (): void {
    if (this.host.paused()) return
    const { condition } = this.host.health()
    if (condition === GroupCondition.Broken) {
      this.dieAll()
      this.host.onBroken()
      return
    }
    if (condition === GroupCondition.Whole) this.advance()
    this.running = this.running.filter((run) => !run.finished)
    this.waiting = this.waiting.filter((run) => !run.finished)
    this.admit()
    this.noteLoad()
  }

  private advance (): void {
    const nowMs = this.clock.nowMs()
    for (const run of this.running) {
      if (!run.finished && run.firstTokenAtMs <= nowMs) run.step(this.settings.tokensPerStep)
    }
  }

  private noteLoad (): void {
    const atMs = this.clock.nowMs()
    const last = this.history.at(-1)
    const [running, waiting] = [this.running.length, this.waiting.length]
    if (last?.running === running && last.waiting === waiting) return
    const keptFromMs = atMs - this.settings.loadLagMs
    const firstKept = this.history.findLastIndex((entry) => entry.atMs <= keptFromMs)
    this.history = [...this.history.slice(Math.max(0, firstKept)), { atMs, running, waiting }]
  }
}
