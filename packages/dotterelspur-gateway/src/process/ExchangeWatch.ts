import { RequestKind, type Clock, type DispatchTarget, type Route, type Teardown } from 'dotterelspur'
import type { AnswerHead } from './GatewayPorts.js'

/** How often running exchanges are looked at. */
const LOOK_INTERVAL_MS = 100

/**
 * A stream that has begun sends an event each 50 to 150 ms; silence of this length means that the group stands still.
 * Callers give a stream up after two seconds, so there is time to go on elsewhere.
 */
const STREAM_SILENCE_MS = 650
/** After this the group is asked already: asking costs little, and its repair begins that much sooner. */
const STREAM_SUSPECT_MS = 400
/** Multiple of a stream's longest pause that is on time, where that is longer. */
const GAP_FACTOR = 2.5
/** Multiple of the target time that the first event may take. */
const FIRST_EVENT_FACTOR = 3
const FIRST_EVENT_LEAST_MS = 1_000

interface Watched {
  readonly route: Route
  readonly startedAtMs: number
  progressAtMs: number
  events: number
  /** The group has been asked since the last event. */
  suspected: boolean
  readonly target: DispatchTarget
  readonly onSilent: () => void
}

export interface ExchangeWatchHandle {
  noteProgress (head: AnswerHead | null): void
  stop (): void
}

/**
 * Notices streams that have fallen silent. A group that lost a member goes on accepting requests and sends nothing;
 * the list tells of it seconds later. One timer serves all exchanges.
 */
export class ExchangeWatch {
  private readonly watched = new Set<Watched>()
  private cancelTimer: Teardown = () => {}

  constructor (
    private readonly clock: Clock, private readonly onProgress: (target: DispatchTarget, head: AnswerHead | null, gapMs: number | null) => void, private readonly onSuspect: (target: DispatchTarget) => void
  ) {}

  start (): void {
    this.cancelTimer = this.clock.registerTimer(LOOK_INTERVAL_MS, () => {
      this.start()
      this.look()
    })
  }

  stop (): void {
    this.cancelTimer()
  }

  begin (target: DispatchTarget, route: Route, onSilent: () => void): ExchangeWatchHandle {
    const nowMs = this.clock.nowMs()
    const watched: Watched = { route, startedAtMs: nowMs, progressAtMs: nowMs, events: 0, suspected: false, target, onSilent }
    if (route.kind === RequestKind.Streaming) this.watched.add(watched)
    return {
      noteProgress: (head) => {
        const nowMs = this.clock.nowMs()
        const gapMs = watched.events > 0 ? nowMs - watched.progressAtMs : null
        watched.progressAtMs = nowMs
        watched.suspected = false
        if (head === null) watched.events += 1
        this.onProgress(target, head, gapMs)
      },
      stop: () => { this.watched.delete(watched) }
    }
  }

  private look (): void {
    const nowMs = this.clock.nowMs()
    for (const watched of this.watched) {
      const silentMs = nowMs - watched.progressAtMs
      if (watched.events > 0 && silentMs >= STREAM_SUSPECT_MS && !watched.suspected) {
        watched.suspected = true
        this.onSuspect(watched.target)
      }
      if (silentMs < allowedSilenceMs(watched)) continue
      this.watched.delete(watched)
      watched.onSilent()
    }
  }
}

function allowedSilenceMs ({ route, events }: Watched): number {
  if (events === 0) return Math.max(FIRST_EVENT_LEAST_MS, route.targetLatencyMs * FIRST_EVENT_FACTOR)
  return Math.max(STREAM_SILENCE_MS, (route.targetGapMs ?? 0) * GAP_FACTOR)
}
