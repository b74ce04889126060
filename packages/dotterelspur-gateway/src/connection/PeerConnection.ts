import { WebSocket } from 'ws'
import { LinkAge, type Clock } from 'dotterelspur'

/** As often as the lease holder broadcasts its state, so that the bound of its age exceeds it by one interval at most. */
const MIN_PROBE_INTERVAL_MS = 350
/** Nodes of a large fleet probe more rarely, so that the lease holder returns no more than 500 probes a second. */
const PROBE_INTERVAL_PER_NODE_MS = 2
const MAX_PROBE_INTERVAL_MS = 700

/**
 * Frames that describe the present are outdated when they may be older than this on arrival: the interval of probes, and a second for which an
 * event loop is held.
 */
const MAX_FRAME_AGE_MS = 2_000

/** Time between two probes of a connection. */
export function probeIntervalMs (nodes: number): number {
  return Math.min(MAX_PROBE_INTERVAL_MS, Math.max(MIN_PROBE_INTERVAL_MS, PROBE_INTERVAL_PER_NODE_MS * nodes))
}

/**
 * An open WebSocket to another node. WebSocket pongs are returned in order with frames, by nodes of every release, so pings are the probes
 * that bound the age of what arrives.
 */
export class PeerConnection {
  private readonly age: LinkAge

  constructor (readonly socket: WebSocket, private readonly clock: Clock) {
    this.age = new LinkAge(clock.nowMs())
    socket.on('pong', (payload) => { this.age.noteReturned(payload.toString(), clock.nowMs()) })
  }

  /** Upper bound of the age of what arrives now. */
  get lateMs (): number {
    return this.clock.nowMs() - this.age.sentSinceMs
  }

  /** Whether a frame that describes the present is worth less than none when it arrives now. */
  get isOutdated (): boolean {
    return this.lateMs > MAX_FRAME_AGE_MS
  }

  probe (): void {
    if (this.socket.readyState === WebSocket.OPEN) this.socket.ping(this.age.probe(this.clock.nowMs()))
  }
}
