import { RequestKind, type Clock, type DispatchTarget, type EndpointId, type Route, type Teardown } from 'dotterelspur'
import type { ResponseHeaders } from './GatewayPorts.js'

/** Interval between checks of running exchanges: a third of the shortest pause that counts as a stall. */
const CHECK_INTERVAL_MS = 40
/** A check that is this late means that the process was suspended, and that data received meanwhile has not been read yet. */
const LATE_CHECK_MS = 40

/**
 * A started stream sends an event every 50 to 150 ms; after silence of this length it may continue elsewhere, whatever the rest of its
 * group appears to do. Callers abandon a stream after two seconds.
 */
const STREAM_STALL_MS = 650
/** Multiple of a stream's longest on-time gap, where that exceeds the fixed limit. */
const GAP_FACTOR = 2.5
/** Multiple of the target latency after which a request without a first event may be sent elsewhere. */
const FIRST_EVENT_FACTOR = 3
const MIN_FIRST_EVENT_TIMEOUT_MS = 1_000
/** Data received from an endpoint within this time takes precedence over other nodes' reports about it. */
const OWN_EVIDENCE_MS = 150

/** Interval between reports of a silence that lasts. */
const REPORT_INTERVAL_MS = 250

interface WatchedExchange {
  readonly route: Route
  readonly startedAtMs: number
  progressAtMs: number
  events: number
  /** The caller is not reading, so the absence of events says nothing about the endpoint. */
  isCallerPaused: boolean
  readonly target: DispatchTarget
  /** Whether the request may be sent to another endpoint; otherwise it keeps waiting, since its endpoint may only have paused. */
  readonly mayRetry: boolean
  /** When the silence was last reported; the next bytes end it. */
  reportedAtMs: number
  readonly onSilent: SilenceListener
}

/** What shows that an exchange has been silent for too long. */
export enum SilenceEvidence {
  /** The exchange itself: no event for longer than its route allows. */
  Exchange = 'exchange',
  /** All streams of the endpoint on this node have paused. */
  Pause = 'pause',
  /** Another node's report about the endpoint's group. */
  Suspected = 'doubted',
  /** The lease holder's report that the group has lost a member. */
  Confirmed = 'known',
  /** This node has lost its links to endpoints. */
  Links = 'links'
}

/** How an exchange was found to be silent. */
export interface Silence {
  readonly evidence: SilenceEvidence
  readonly silentMs: number
}

export type SilenceListener = (silence: Silence) => void

/** Callbacks of the detector. */
export interface StallDetectorListener {
  onProgress (target: DispatchTarget, headers: ResponseHeaders | null, gapMs: number | null): void
  /** Longest pause of all streams of a working endpoint at the same time. */
  pauseLimitMs (target: DispatchTarget): number
  /** All streams of an endpoint have paused for longer than `limitMs`. */
  onStalled (target: DispatchTarget, silentMs: number, limitMs: number): void
  /** Called while the streams of a stalled endpoint stay silent. */
  onStillSilent (target: DispatchTarget): void
  /** Whether a request may run at another endpoint as well: the retry budget allows it, and one takes requests that has not stalled. */
  mayRunElsewhere (target: DispatchTarget): boolean
}

export interface ExchangeHandle {
  noteProgress (headers: ResponseHeaders | null): void
  noteCallerPaused (held: boolean): void
  stop (): void
}

/** Confidence that an endpoint has stalled. */
export enum StallCertainty {
  /** Streams of at least one node have paused for longer than the endpoint's workload explains. */
  Suspected = 'doubted',
  /** The endpoint's group is known to have lost a member. */
  Confirmed = 'known'
}

/**
 * Detects stalled groups. A group that lost a member still accepts requests but sends nothing, and the endpoint list
 * shows the loss only seconds later. A working endpoint that has paused looks the same, so silence ends no exchange: it is
 * reported, and the request may be sent to another endpoint beside it.
 */
export class StallDetector {
  private readonly watched = new Set<WatchedExchange>()
  /** Time of the last bytes from each endpoint. */
  private readonly lastBytesAtMs = new Map<EndpointId, number>()
  /** Endpoints reported as stalled since their last bytes. */
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

  /** Evicts endpoints that are no longer listed and run no exchange; an endpoint goes on with its streams after its entry is removed. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    const kept = new Set(endpoints)
    for (const { target } of this.watched) kept.add(target.endpoint)
    for (const endpoint of this.lastBytesAtMs.keys()) {
      if (!kept.has(endpoint)) this.lastBytesAtMs.delete(endpoint)
    }
    for (const endpoint of this.reported) {
      if (!kept.has(endpoint)) this.reported.delete(endpoint)
    }
  }

  begin (target: DispatchTarget, route: Route, mayRetry: boolean, onSilent: SilenceListener): ExchangeHandle {
    const nowMs = this.clock.nowMs()
    const watched: WatchedExchange = { route, startedAtMs: nowMs, progressAtMs: nowMs, events: 0, isCallerPaused: false, reportedAtMs: -Infinity, target, mayRetry, onSilent }
    if (route.kind === RequestKind.Streaming) this.watched.add(watched)
    return {
      noteProgress: (headers) => { this.noteProgress(watched, headers) },
      noteCallerPaused: (held) => {
        watched.isCallerPaused = held
        watched.progressAtMs = this.clock.nowMs()
      },
      stop: () => { this.watched.delete(watched) }
    }
  }

  /**
   * Handles another node's report that an endpoint has stalled, unless this node has received bytes from it too recently for the
   * report to cover. Returns whether the report was accepted.
   */
  noteStalled (endpoint: EndpointId, certainty: StallCertainty): boolean {
    if (this.clock.nowMs() - this.lastBytesFrom(endpoint) < OWN_EVIDENCE_MS) return false
    this.reportSilence(EVIDENCE[certainty], ({ target, events }) => target.endpoint === endpoint && (events === 0 || certainty === StallCertainty.Confirmed))
    return true
  }

  /** This node's links have failed: exchanges that are silent may continue on another path. */
  noteLinksLost (): void {
    const nowMs = this.clock.nowMs()
    this.reportSilence(SilenceEvidence.Links, ({ progressAtMs }) => nowMs - progressAtMs >= OWN_EVIDENCE_MS)
  }

  private noteProgress (watched: WatchedExchange, headers: ResponseHeaders | null): void {
    const nowMs = this.clock.nowMs()
    const { target, events, progressAtMs } = watched
    watched.progressAtMs = nowMs
    watched.reportedAtMs = -Infinity
    this.lastBytesAtMs.set(target.endpoint, nowMs)
    this.reported.delete(target.endpoint)
    if (headers === null) watched.events += 1
    this.listener.onProgress(target, headers, events > 0 && !watched.isCallerPaused ? nowMs - progressAtMs : null)
  }

  private lastBytesFrom (endpoint: EndpointId): number {
    return this.lastBytesAtMs.get(endpoint) ?? -Infinity
  }

  private check (): void {
    const nowMs = this.clock.nowMs()
    if (nowMs - this.checkedAtMs > CHECK_INTERVAL_MS + LATE_CHECK_MS) this.resumedAtMs = nowMs
    this.checkedAtMs = nowMs
    for (const target of this.streamingTargets()) this.checkTarget(target, nowMs)
    this.reportSilence(SilenceEvidence.Exchange, (watched) => nowMs - Math.max(watched.progressAtMs, this.resumedAtMs) >= allowedSilenceMs(watched))
  }

  /** Endpoints with a started stream whose caller is reading, each once. */
  private streamingTargets (): Iterable<DispatchTarget> {
    const targets = new Map<EndpointId, DispatchTarget>()
    for (const { target, events, isCallerPaused } of this.watched) {
      if (events > 0 && !isCallerPaused) targets.set(target.endpoint, target)
    }
    return targets.values()
  }

  private checkTarget (target: DispatchTarget, nowMs: number): void {
    const silentMs = nowMs - Math.max(this.lastBytesFrom(target.endpoint), this.resumedAtMs)
    if (this.reported.has(target.endpoint)) return this.listener.onStillSilent(target)
    const limitMs = this.listener.pauseLimitMs(target)
    if (silentMs < limitMs) return
    this.reported.add(target.endpoint)
    this.listener.onStalled(target, silentMs, limitMs)
    this.reportSilence(SilenceEvidence.Pause, (watched) => watched.target.endpoint === target.endpoint && watched.events === 0)
  }

  /**
   * Reports the silence of exchanges whose requests may be sent to another endpoint. Reported again while it lasts: the retry budget and
   * free endpoints return, and many requests ask for them at once.
   */
  private reportSilence (evidence: SilenceEvidence, isSilent: (watched: WatchedExchange) => boolean): void {
    const nowMs = this.clock.nowMs()
    for (const watched of [...this.watched]) {
      if (nowMs - watched.reportedAtMs < REPORT_INTERVAL_MS || watched.isCallerPaused || !watched.mayRetry || !isSilent(watched) || !this.listener.mayRunElsewhere(watched.target)) continue
      watched.reportedAtMs = nowMs
      watched.onSilent({ evidence, silentMs: nowMs - watched.progressAtMs })
    }
  }
}

const EVIDENCE: Readonly<Record<StallCertainty, SilenceEvidence>> = {
  [StallCertainty.Suspected]: SilenceEvidence.Suspected,
  [StallCertainty.Confirmed]: SilenceEvidence.Confirmed
}

function allowedSilenceMs ({ route, events }: WatchedExchange): number {
  if (events === 0) return Math.max(MIN_FIRST_EVENT_TIMEOUT_MS, route.targetLatencyMs * FIRST_EVENT_FACTOR)
  return Math.max(STREAM_STALL_MS, (route.targetGapMs ?? 0) * GAP_FACTOR)
}
