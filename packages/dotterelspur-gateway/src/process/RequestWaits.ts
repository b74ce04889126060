import { WaitEnd, WaitingRequests, type Clock, type EndedWait, type Teardown, type WaitingRequest } from 'dotterelspur'

interface PendingWait extends WaitingRequest {
  readonly resolve: (end: WaitEnd) => void
}

/** Runs the timers of the requests that wait at this node for an endpoint. */
export class RequestWaits {
  private readonly waiting = new WaitingRequests<PendingWait>()
  private readonly pending = new Map<WaitingRequest, PendingWait>()
  private cancelTimer: Teardown = () => {}

  constructor (private readonly clock: Clock) {}

  /** Requests that wait now. */
  get size (): number {
    return this.waiting.size
  }

  /** Resolves once the wait for an endpoint that is available at `availableAtMs` has ended; at once where the request may not wait. */
  async wait (request: WaitingRequest, availableAtMs: number): Promise<WaitEnd> {
    return await new Promise((resolve) => {
      const pending: PendingWait = { ...request, resolve }
      if (this.waiting.offer(pending, availableAtMs, this.clock.nowMs())) this.pending.set(request, pending)
      else resolve(WaitEnd.Reject)
      // The new time may also end the wait of others.
      this.schedule()
    })
  }

  /** Ends the wait of a request whose caller has disconnected. */
  cancel (request: WaitingRequest): void {
    const pending = this.pending.get(request)
    if (pending === undefined) return
    this.waiting.remove(pending)
    this.end([{ request: pending, end: WaitEnd.Reject }])
  }

  /** Ends all waits, since the node begins its planned stop. */
  stop (): void {
    this.end(this.waiting.drain())
  }

  private end (ended: ReadonlyArray<EndedWait<PendingWait>>): void {
    const requests = new Set(ended.map(({ request }) => request))
    for (const [request, pending] of this.pending) {
      if (requests.has(pending)) this.pending.delete(request)
    }
    for (const { request, end } of ended) request.resolve(end)
    this.schedule()
  }

  private schedule (): void {
    this.cancelTimer()
    const nowMs = this.clock.nowMs()
    const nextAtMs = this.waiting.nextAtMs(nowMs)
    if (nextAtMs === null) return
    this.cancelTimer = this.clock.registerTimer(nextAtMs - nowMs, () => { this.end(this.waiting.advance(this.clock.nowMs())) })
  }
}
