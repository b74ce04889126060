import { RequestKind, type Clock, type DispatchTarget, type EndpointId, type Route, type ServiceId, type Teardown } from 'dotterelspur'
import type { AnswerHead } from './GatewayPorts.js'

/** How often running exchanges are looked at: a third of the shortest pause that means a stop. */
const LOOK_INTERVAL_MS = 40
/** A look that comes this much late: the process stood still, and what came meanwhile has not been read yet. */
const LATE_LOOK_MS = 40

/**
 * A stream that has begun sends an event each 50 to 150 ms; silence of this length is a stop, whatever else its group
 * seems to do. Callers give a stream up after two seconds, so there is time to go on elsewhere.
 */
const STREAM_SILENCE_MS = 650
/** Multiple of a stream's longest pause that is on time, where that is longer. */
const GAP_FACTOR = 2.5
/** Multiple of the target time that the first event may take. */
const FIRST_EVENT_FACTOR = 3
const FIRST_EVENT_LEAST_MS = 1_000
/** What a node has from an endpoint itself within this time goes before what others say of it. */
const OWN_EVIDENCE_MS = 150

interface Watched {
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
export interface ExchangeWatchListener {
  progressed (target: DispatchTarget, head: AnswerHead | null, gapMs: number | null): void
  /** How long all streams of an endpoint may pause at once while it works. */
  pauseLimitMs (target: DispatchTarget): number
  /** All streams of an endpoint have paused for longer than `limitMs`. */
  stopped (target: DispatchTarget, silentMs: number, limitMs: number): void
  /** Whether the budget of repeats lets a request of the service be sent once more. */
  mayRepeat (service: ServiceId): boolean
}

export interface ExchangeWatchHandle {
  noteProgress (head: AnswerHead | null): void
  noteHeld (held: boolean): void
  stop (): void
}

/** How sure it is that an endpoint has stopped. */
export enum StopCertainty {
  /** Streams of some node have paused for longer than its work explains. */
  Doubted = 'doubted',
  /** Its group is known to have lost a member. */
  Known = 'known'
}

/**
 * Notices groups that have stopped. One that lost a member goes on accepting requests and sends nothing; the list tells
 * of it seconds later. Requests that wait there for their first event go elsewhere while they can still be on time.
 */
export class ExchangeWatch {
  private readonly watched = new Set<Watched>()
  /** The last bytes from each endpoint. */
  private readonly signAtMs = new Map<EndpointId, number>()
  /** Endpoints that have been told of since their last bytes. */
  private readonly told = new Set<EndpointId>()
  private lookedAtMs: number
  private readingSinceMs = -Infinity
  private cancelTimer: Teardown = () => {}

  constructor (private readonly clock: Clock, private readonly listener: ExchangeWatchListener) {
    this.lookedAtMs = clock.nowMs()
  }

  start (): void {
    this.cancelTimer = this.clock.registerTimer(LOOK_INTERVAL_MS, () => {
      this.start()
      this.look()
    })
  }

  stop (): void {
    this.cancelTimer()
  }

  /** Forgets endpoints that are gone. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    for (const endpoint of this.signAtMs.keys()) {
      if (!endpoints.has(endpoint)) this.signAtMs.delete(endpoint)
    }
    for (const endpoint of this.told) {
      if (!endpoints.has(endpoint)) this.told.delete(endpoint)
    }
  }

  begin (target: DispatchTarget, route: Route, mayMove: boolean, onSilent: () => void): ExchangeWatchHandle {
    const nowMs = this.clock.nowMs()
    const watched: Watched = { route, startedAtMs: nowMs, progressAtMs: nowMs, events: 0, held: false, target, mayMove, onSilent }
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
  noteStopped (endpoint: EndpointId, certainty: StopCertainty): boolean {
    if (this.clock.nowMs() - this.signOf(endpoint) < OWN_EVIDENCE_MS) return false
    this.giveUp((watched) => this.movesFrom(watched, endpoint) && (watched.events === 0 || certainty === StopCertainty.Known))
    return true
  }

  private noteProgress (watched: Watched, head: AnswerHead | null): void {
    const nowMs = this.clock.nowMs()
    const { target, events, progressAtMs } = watched
    watched.progressAtMs = nowMs
    this.signAtMs.set(target.endpoint, nowMs)
    this.told.delete(target.endpoint)
    if (head === null) watched.events += 1
    this.listener.progressed(target, head, events > 0 && !watched.held ? nowMs - progressAtMs : null)
  }

  private signOf (endpoint: EndpointId): number {
    return this.signAtMs.get(endpoint) ?? -Infinity
  }

  private look (): void {
    const nowMs = this.clock.nowMs()
    if (nowMs - this.lookedAtMs > LOOK_INTERVAL_MS + LATE_LOOK_MS) this.readingSinceMs = nowMs
    this.lookedAtMs = nowMs
    for (const target of this.writingTargets()) this.judge(target, nowMs)
    this.giveUp((watched) => nowMs - Math.max(watched.progressAtMs, this.readingSinceMs) >= allowedSilenceMs(watched))
  }

  /** Endpoints that owe events, each once. */
  private writingTargets (): Iterable<DispatchTarget> {
    const targets = new Map<EndpointId, DispatchTarget>()
    for (const { target, events, held } of this.watched) {
      if (events > 0 && !held) targets.set(target.endpoint, target)
    }
    return targets.values()
  }

  private judge (target: DispatchTarget, nowMs: number): void {
    const silentMs = nowMs - Math.max(this.signOf(target.endpoint), this.readingSinceMs)
    if (this.told.has(target.endpoint)) return
    const limitMs = this.listener.pauseLimitMs(target)
    if (silentMs < limitMs) return
    this.told.add(target.endpoint)
    this.listener.stopped(target, silentMs, limitMs)
    this.giveUp((watched) => this.movesFrom(watched, target.endpoint) && watched.events === 0)
  }

  private movesFrom ({ target, mayMove }: Watched, endpoint: EndpointId): boolean {
    return target.endpoint === endpoint && mayMove && this.listener.mayRepeat(target.service)
  }

  private giveUp (isOver: (watched: Watched) => boolean): void {
    for (const watched of [...this.watched].filter((candidate) => !candidate.held && isOver(candidate))) {
      this.watched.delete(watched)
      watched.onSilent()
    }
  }
}

function allowedSilenceMs ({ route, events }: Watched): number {
  if (events === 0) return Math.max(FIRST_EVENT_LEAST_MS, route.targetLatencyMs * FIRST_EVENT_FACTOR)
  return Math.max(STREAM_SILENCE_MS, (route.targetGapMs ?? 0) * GAP_FACTOR)
}
