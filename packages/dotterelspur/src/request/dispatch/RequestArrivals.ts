import type { RetryTicket } from './RetryWindow.js'

/**
 * An endpoint may receive a request this long after it was sent, although this node has ended the exchange meanwhile: lost packets are sent
 * again, and an endpoint that stands still reads only afterwards.
 */
export const LONGEST_DELIVERY_MS = 3_000

/** What is known of the arrival of one run at its endpoint. The first call settles it. */
export interface RunArrival {
  /** The endpoint has responded. */
  noteResponse (nowMs: number): void
  /** The exchange has ended on the endpoint's side: the request arrives no more. */
  noteEnd (nowMs: number): void
  /** This node has ended the exchange: the request may still arrive. */
  noteAbort (sentAtMs: number, nowMs: number): void
  noteNotSent (): void
}

interface RunState {
  readonly retry: RetryTicket | null
  /** The last moment at which it can have arrived; null until this is known. */
  arrivedByMs: number | null
}

/**
 * The arrivals of one request at its endpoints. All beyond the first count as retries, whichever comes first: where the first endpoint stands
 * still, its arrival is the later one. A retry is settled once the arrivals of its own run and of all runs before it are.
 */
export class RequestArrivals {
  private readonly runs: RunState[] = []

  /** @param retry the retry taken for the run; null for the first run. */
  begin (retry: RetryTicket | null): RunArrival {
    const run: RunState = { retry, arrivedByMs: null }
    this.runs.push(run)
    return {
      noteResponse: (nowMs) => { this.settle(run, nowMs) },
      noteEnd: (nowMs) => { this.settle(run, nowMs) },
      noteAbort: (sentAtMs, nowMs) => { this.settle(run, Math.max(nowMs, sentAtMs + LONGEST_DELIVERY_MS)) },
      noteNotSent: () => {
        if (run.arrivedByMs === null) retry?.release()
        this.settle(run, -Infinity)
      }
    }
  }

  private settle (settled: RunState, arrivedByMs: number): void {
    settled.arrivedByMs ??= arrivedByMs
    let lastMs = -Infinity
    for (const run of this.runs) {
      if (run.arrivedByMs === null) return
      lastMs = Math.max(lastMs, run.arrivedByMs)
      run.retry?.settle(lastMs)
    }
  }
}
