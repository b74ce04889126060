import { RequestKind, type Clock, type DispatchTarget, type EndpointId, type Route, type ServiceId, type Teardown } from 'dotterelspur'
import type { ResponseHeaders } from './GatewayPorts.js'

/** How often running exchanges are looked at: a third of the shortest pause that means a stop. */
const CHECK_INTERVAL_MS = 40
/** A look that comes this much late: the process stood still, and what came meanwhile has not been read yet. */
const LATE_CHECK_MS = 40

/**
 * A stream that has begun sends an event each 50 to 150 ms; silence of this length is a stop, whatever else its group
 * seems to do. Callers give a stream up after two seconds, so there is time to go on elsewhere.
 */
const STREAM_STALL_MS = 650
/** Multiple of a stream's longest pause that is on time, where that is longer. */
const GAP_FACTOR = 2.5
/** Multiple of the target time that the first event may take. */
const FIRST_EVENT_FACTOR = 3
const MIN_FIRST_EVENT_TIMEOUT_MS = 1_000
/** What a node has from an endpoint itself within this time goes before what others say of it. */
const OWN_EVIDENCE_MS = 150

interface WatchedExchange {
  readonly route: Route
  readonly startedAtMs: number
  progressAtMs: number
  events: number
  /** The caller takes nothing for now: that no event comes says nothing of the endpoint. */
  held: boolean
  readonly target: DispatchTarget
  /** The request may be sent elsewhere; one that may not waits on, since its group may only be slow. */
  readonly mayMove: boolean
  readonly onSilent: () => void
}

/** What the watch tells of endpoints. */
export interface StallDetectorListener {
  onProgress (target: DispatchTarget, head: ResponseHeaders | null, gapMs: number | null): void
  /** How long all streams of an endpoint may pause at once while it works. */
  pauseLimitMs (target: DispatchTarget): number
  /** All streams of an endpoint have paused for longer than `limitMs`. */
  onStalled (target: DispatchTarget, silentMs: number, limitMs: number): void
  /** Whether the budget of repeats lets a request of the service be sent once more. */
  mayRetry (service: ServiceId): boolean
}

export interface ExchangeHandle {
  noteProgress (head: ResponseHeaders | null): void
  noteHeld (held: boolean): void
  stop (): void
}

/** How sure it is that an endpoint has stopped. */
export enum StallCertainty {
  /** Streams of some node have paused for longer than its work explains. */
  Suspected = 'doubted',
  /** Its group is known to have lost a member. */
  Confirmed = 'known'
}

/**
 * Notices groups that have stopped. One that lost a member goes on accepting requests and sends nothing; the list tells
 * of it seconds later. Requests that wait there for their first event go elsewhere while they can still be on time.
 */
export class StallDetector {
  private readonly watched = new Set<WatchedExchange>()
  /** The last bytes from each endpoint. */
  private readonly lastBytesAtMs = new Map<EndpointId, number>()
  /** Endpoints that have been told of since their last bytes. */
  private readonly reported = new Set<EndpointId>()
  private checkedAtMs: number
  private resumedAtMs = -Infinity
  private cancelTimer: Teardown = () => {}

  constructor (private readonly clock: Clock, private readonly listener: StallDetectorListener) {
    this.checkedAtMs = clock.nowMs()
  }

  start (): void {
    this.cancelTimer = this.clock.registerTimer(CHECK_INTERVAL_MS, () => {
      this.start()
      this.check()
    })
  }

  stop (): void {
    this.cancelTimer()
  }

  /** Forgets endpoints that are gone. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    for (const endpoint of this.lastBytesAtMs.keys()) {
      if (!endpoints.has(endpoint)) this.lastBytesAtMs.delete(endpoint)
    }
    for (const endpoint of this.reported) {
      if (!endpoints.has(endpoint)) this.reported.delete(endpoint)
    }
  }

  begin (target: DispatchTarget, route: Route, mayMove: boolean, onSilent: () => void): ExchangeHandle {
    const nowMs = this.clock.nowMs()
    const watched: WatchedExchange = { route, startedAtMs: nowMs, progressAtMs: nowMs, events: 0, held: false, target, mayMove, onSilent }
    if (route.kind === RequestKind.Streaming) this.watched.add(watched)
    return {
      noteProgress: (head) => { this.noteProgress(watched, head) },
      noteHeld: (held) => {
        watched.held = held
        watched.progressAtMs = this.clock.nowMs()
      },
      stop: () => { this.watched.delete(watched) }
    }
  }

  /**
   * Somebody else says that an endpoint has stopped. Exchanges there end, so that they go on elsewhere, unless this node
   * has bytes of it that are newer than the word can be; returns whether it has none.
   */
  noteStalled (endpoint: EndpointId, certainty: StallCertainty): boolean {
    if (this.clock.nowMs() - this.lastBytesFrom(endpoint) < OWN_EVIDENCE_MS) return false
    this.abandon((watched) => this.canMoveFrom(watched, endpoint) && (watched.events === 0 || certainty === StallCertainty.Confirmed))
    return true
  }

  private noteProgress (watched: WatchedExchange, head: ResponseHeaders | null): void {
    const nowMs = this.clock.nowMs()
    const { target, events, progressAtMs } = watched
    watched.progressAtMs = nowMs
    this.lastBytesAtMs.set(target.endpoint, nowMs)
    this.reported.delete(target.endpoint)
    if (head === null) watched.events += 1
    this.listener.onProgress(target, head, events > 0 && !watched.held ? nowMs - progressAtMs : null)
  }

  private lastBytesFrom (endpoint: EndpointId): number {
    return this.lastBytesAtMs.get(endpoint) ?? -Infinity
  }

  private check (): void {
    const nowMs = this.clock.nowMs()
    if (nowMs - this.checkedAtMs > CHECK_INTERVAL_MS + LATE_CHECK_MS) this.resumedAtMs = nowMs
    this.checkedAtMs = nowMs
    for (const target of this.streamingTargets()) this.checkTarget(target, nowMs)
    this.abandon((watched) => nowMs - Math.max(watched.progressAtMs, this.resumedAtMs) >= allowedSilenceMs(watched))
  }

  /** Endpoints that owe events, each once. */
  private streamingTargets (): Iterable<DispatchTarget> {
    const targets = new Map<EndpointId, DispatchTarget>()
    for (const { target, events, held } of this.watched) {
      if (events > 0 && !held) targets.set(target.endpoint, target)
    }
    return targets.values()
  }

  private checkTarget (target: DispatchTarget, nowMs: number): void {
    const silentMs = nowMs - Math.max(this.lastBytesFrom(target.endpoint), this.resumedAtMs)
    if (this.reported.has(target.endpoint)) return
    const limitMs = this.listener.pauseLimitMs(target)
    if (silentMs < limitMs) return
    this.reported.add(target.endpoint)
    this.listener.onStalled(target, silentMs, limitMs)
    this.abandon((watched) => this.canMoveFrom(watched, target.endpoint) && watched.events === 0)
  }

  private canMoveFrom ({ target, mayMove }: WatchedExchange, endpoint: EndpointId): boolean {
    return target.endpoint === endpoint && mayMove && this.listener.mayRetry(target.service)
  }

  private abandon (isOver: (watched: WatchedExchange) => boolean): void {
    for (const watched of [...this.watched].filter((candidate) => !candidate.held && isOver(candidate))) {
      this.watched.delete(watched)
      watched.onSilent()
    }
  }
}

function allowedSilenceMs ({ route, events }: WatchedExchange): number {
  if (events === 0) return Math.max(MIN_FIRST_EVENT_TIMEOUT_MS, route.targetLatencyMs * FIRST_EVENT_FACTOR)
  return Math.max(STREAM_STALL_MS, (route.targetGapMs ?? 0) * GAP_FACTOR)
}
