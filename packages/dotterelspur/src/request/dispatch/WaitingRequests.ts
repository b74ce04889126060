import type { PoolKey } from './FleetObservation.js'

/** Requests that wait at a node at a time, and the bytes of their bodies: a small part of a node's 64 MB. */
const MAX_WAITING = 64
const MAX_WAITING_BYTES = 1_048_576
/** A request waits for at most this share of its target: the rest is needed by the endpoint. */
export const WAIT_SHARE = 0.25
/** Time between two attempts for a pool after one that succeeded: only the next one tells when there is a further token. */
const STEP_MS = 1
/** An attempt is made this often in any case: an endpoint that was not known of may take requests meanwhile. */
const RECHECK_MS = 50

export interface WaitingRequest {
  readonly pool: PoolKey
  /** 0 is the most urgent. */
  readonly rank: number
  /** When the response has to begin to be on time. */
  readonly targetAtMs: number
  /** Until when it may wait. */
  readonly untilMs: number
  readonly bodyBytes: number
}

export enum WaitEnd {
  /** An endpoint can probably take the request now. */
  Place = 'place',
  /** No endpoint will take it in time, or its caller has disconnected. */
  Reject = 'reject',
  /** The node stops. */
  Stop = 'stop'
}

export interface EndedWait<Request extends WaitingRequest> {
  readonly request: Request
  readonly end: WaitEnd
}

/** Requests for a pool, the most urgent first. */
interface PoolQueue<Request> {
  readonly requests: Request[]
  /** When an endpoint can take the next one. */
  availableAtMs: number
  /** When the next one is tried. */
  nextAtMs: number
}

/**
 * Requests that wait at a node until an endpoint's rate limit, its rate while it is cold, or the back-off that it asked for, allows the next one.
 *
 * This handles requests that arrive a little before the next token of a limited endpoint: of several that arrive together
 * all but one would be rejected, although tokens for them follow within a part of their target. Only one request is
 * placed for each token, so that a queue costs no more than two placements for each.
 */
export class WaitingRequests<Request extends WaitingRequest = WaitingRequest> {
  private readonly queues = new Map<PoolKey, PoolQueue<Request>>()
  private count = 0
  private bytes = 0
  private draining = false

  get size (): number {
    return this.count
  }

  /** Takes a request that an endpoint can take at `availableAtMs`; false where it is to be rejected instead. */
  offer (request: Request, availableAtMs: number, nowMs: number): boolean {
    const queue = this.queues.get(request.pool) ?? { requests: [], availableAtMs, nextAtMs: 0 }
    // What the latest attempt has found holds for all requests of the pool.
    queue.availableAtMs = availableAtMs
    queue.nextAtMs = Math.min(availableAtMs, nowMs + RECHECK_MS)
    if (this.draining || availableAtMs > request.untilMs || nowMs >= request.untilMs) return false
    if (this.count >= MAX_WAITING || this.bytes + request.bodyBytes > MAX_WAITING_BYTES) return false
    this.count += 1
    this.bytes += request.bodyBytes
    this.queues.set(request.pool, queue)
    insert(queue.requests, request)
    return true
  }

  /** Drops a request whose caller has disconnected. */
  remove (request: Request): void {
    const queue = this.queues.get(request.pool)
    const index = queue?.requests.indexOf(request) ?? -1
    if (queue !== undefined && index >= 0) this.take(queue, index)
  }

  /** When `advance` is to be called next, which may be now; null while no request waits. */
  nextAtMs (nowMs: number): number | null {
    const times = [...this.queues.values()].flatMap(({ requests, nextAtMs, availableAtMs }) => [nextAtMs, ...requests.map(({ untilMs }) => untilMs < availableAtMs ? nowMs : untilMs)])
    return times.length === 0 ? null : Math.max(nowMs, Math.min(...times))
  }

  /** The requests whose wait ends now: of each pool the most urgent one, if an endpoint can take it, and those for which none will in time. */
  advance (nowMs: number): Array<EndedWait<Request>> {
    const ended: Array<EndedWait<Request>> = []
    for (const queue of [...this.queues.values()]) {
      if (queue.nextAtMs <= nowMs) {
        queue.nextAtMs = nowMs + STEP_MS
        queue.availableAtMs = Math.max(queue.availableAtMs, queue.nextAtMs)
        ended.push({ request: this.take(queue, 0), end: WaitEnd.Place })
      }
      for (const request of queue.requests.filter(({ untilMs }) => untilMs <= nowMs || untilMs < queue.availableAtMs)) {
        this.take(queue, queue.requests.indexOf(request))
        ended.push({ request, end: WaitEnd.Reject })
      }
    }
    return ended
  }

  /** Ends all waits, since the node stops; no request waits from now on. */
  drain (): Array<EndedWait<Request>> {
    this.draining = true
    const requests = [...this.queues.values()].flatMap((queue) => queue.requests)
    this.queues.clear()
    this.count = 0
    this.bytes = 0
    return requests.map((request) => ({ request, end: WaitEnd.Stop }))
  }

  private take (queue: PoolQueue<Request>, index: number): Request {
    const [request] = queue.requests.splice(index, 1)
    this.count -= 1
    this.bytes -= request!.bodyBytes
    if (queue.requests.length === 0) this.queues.delete(request!.pool)
    return request!
  }
}

/** Keeps the order by rank, then by the earliest target, then of arrival. */
function insert<Request extends WaitingRequest> (requests: Request[], request: Request): void {
  const index = requests.findIndex((other) => other.rank > request.rank || (other.rank === request.rank && other.targetAtMs > request.targetAtMs))
  requests.splice(index === -1 ? requests.length : index, 0, request)
}
