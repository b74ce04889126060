import type { EndpointId } from '../../process/ids.js'
import type { EndpointFailures } from './EndpointFailures.js'

interface CountedFailure {
  readonly endpoint: EndpointId
  readonly countedAtMs: number
}

/** The endpoints that failed one request, and what was counted against them for it. */
export class RequestFailures {
  private readonly failed = new Set<EndpointId>()
  private readonly counted: CountedFailure[] = []
  private answered = false

  constructor (private readonly failures: EndpointFailures) {}

  noteAnswer (endpoint: EndpointId, nowMs: number): void {
    this.answered = true
    this.failures.noteAnswer(endpoint, nowMs)
  }

  noteFailure (endpoint: EndpointId, sentAtMs: number, nowMs: number): void {
    this.failed.add(endpoint)
    if (this.failures.noteFailure(endpoint, sentAtMs, nowMs)) this.counted.push({ endpoint, countedAtMs: nowMs })
  }

  /** Called at the end of the request. One that several endpoints failed and none answered probably fails anywhere, so it counts against none of them. */
  settle (nowMs: number): void {
    if (this.answered || this.failed.size < 2) return
    for (const { endpoint, countedAtMs } of this.counted) this.failures.withdraw(endpoint, countedAtMs, nowMs)
  }
}
