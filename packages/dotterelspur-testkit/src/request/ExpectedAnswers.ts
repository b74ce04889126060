import type { GenerateRequest, RequestId } from 'dotterelspur'
import { expectedAnswer } from './AnswerText.js'

const LIMIT_REQUESTS = 100_000

/** Requests that engines received, from which a checker computes the whole answer that each request id must have received. */
export class ExpectedAnswers {
  private readonly requests = new Map<RequestId, GenerateRequest>()

  /** Records the first request of each id. */
  note (request: GenerateRequest): void {
    if (this.requests.has(request.requestId)) return
    this.requests.set(request.requestId, request)
    if (this.requests.size > LIMIT_REQUESTS) this.requests.delete(this.requests.keys().next().value!)
  }

  prompt (requestId: RequestId): string | undefined {
    return this.requests.get(requestId)?.prompt
  }

  /** The whole answer to a request id. */
  answer (requestId: RequestId): string | undefined {
    const request = this.requests.get(requestId)
    return request === undefined ? undefined : expectedAnswer(request, request.maxTokens)
  }
}
