import { ExchangeEnd, type ExchangeReport, type SupersededExchange } from 'dotterelspur'
import type { EndpointRun } from './EndpointRun.js'

/**
 * The open runs of one request. A silent endpoint may only have paused, so its run stays open beside the one that is started elsewhere;
 * the first that continues the response delivers it, and the others are ended. An endpoint that was silent continues it once it has shown
 * that it works: a response would stay with a slow one otherwise, whose next event comes before the first of the other run.
 */
export class OpenRuns {
  private readonly open = new Set<EndpointRun>()
  /** Runs that have become silent since the last report. */
  private readonly silent = new Set<EndpointRun>()
  /** Ends that have not been reported yet. */
  private readonly ends: ExchangeEnd[] = []
  /** Runs that have been superseded since the last report. */
  private superseded: SupersededExchange[] = []
  private wake = (): void => {}

  get isEmpty (): boolean {
    return this.open.size === 0
  }

  /** Whether only another run could continue the response now: no run has an end to report, and all that are open are silent. */
  get needsAnother (): boolean {
    return this.ends.length === 0 && [...this.open].every((run) => run.isSilent)
  }

  has (run: EndpointRun): boolean {
    return this.open.has(run)
  }

  /** Whether events of `run` are to be held, because another run may continue the response sooner. Its second chunk shows that it works. */
  mustProve (run: EndpointRun): boolean {
    return run.isUnproven && !run.hasHeldEvents && this.hasOtherAtWork(run)
  }

  /** A run with held events that no other run can overtake any more. */
  get released (): EndpointRun | undefined {
    return [...this.open].find((run) => run.hasHeldEvents && !this.hasOtherAtWork(run))
  }

  add (run: EndpointRun): void {
    this.silent.clear()
    this.open.add(run)
  }

  noteSilent (run: EndpointRun): void {
    this.silent.add(run)
    this.wake()
  }

  /** The run continues the response: all others are ended. */
  keepOnly (run: EndpointRun): void {
    this.silent.delete(run)
    for (const other of [...this.open]) {
      if (other !== run) this.supersede(other)
    }
  }

  noteEnd (run: EndpointRun, end: ExchangeEnd): void {
    this.open.delete(run)
    this.silent.delete(run)
    if (end === ExchangeEnd.Answered) this.keepOnly(run)
    this.ends.push(end)
    this.wake()
  }

  /** Ends all runs; one of them reports `end`. */
  abort (end: ExchangeEnd): void {
    const [first] = this.open
    if (first === undefined) return
    this.keepOnly(first)
    first.abort(end)
    // A run whose end was lost, by an unexpected error while it was handled, would leave its caller without an answer.
    if (this.open.has(first)) this.noteEnd(first, end)
  }

  resume (): void {
    for (const run of this.open) run.resume()
  }

  /** Resolves with the next end of a run, or when a run becomes silent. */
  async nextReport (): Promise<Pick<ExchangeReport, 'end' | 'hasOpenExchange' | 'superseded'>> {
    for (;;) {
      const end = this.ends.shift() ?? this.takeSilence()
      if (end !== undefined) {
        const superseded = this.superseded
        this.superseded = []
        return { end, hasOpenExchange: !this.isEmpty || this.ends.length > 0, superseded }
      }
      await new Promise<void>((resolve) => { this.wake = resolve })
    }
  }

  /** A silent run is no reason for another one while one of the others is at work. */
  private takeSilence (): ExchangeEnd | undefined {
    const isReported = this.silent.size > 0 && this.needsAnother
    this.silent.clear()
    return isReported ? ExchangeEnd.Silent : undefined
  }

  private hasOtherAtWork (run: EndpointRun): boolean {
    return [...this.open].some((other) => other !== run && !other.isSilent)
  }

  private supersede (run: EndpointRun): void {
    this.open.delete(run)
    this.silent.delete(run)
    this.superseded.push({ target: run.target, isUnsent: !run.isSent })
    run.abort(ExchangeEnd.Superseded)
  }
}
