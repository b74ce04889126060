import { ChunkKind, FinishReason, StreamState } from 'dotterelspur'
import type { GenerateChunk, GenerateRequest, StreamStatus } from 'dotterelspur'
import { answerText, countTokens } from './AnswerText.js'
import type { AnswerText } from './AnswerText.js'
import { RunEnd } from '../process/Ledger.js'
import type { RunCloser } from '../process/Ledger.js'

/** A connection that receives a run's chunks. */
export interface RunFollower {
  readonly attempt: number
  /** Index of the next token to send on this connection. */
  offset: number
  /** False while the connection's buffer is full. */
  writable (): boolean
  write (chunk: GenerateChunk): void
  finish (): void
  /** Resets the connection without an end-of-stream marker. */
  destroy (): void
}

const FINISHED_STATES: Readonly<Record<RunEnd, StreamState>> = {
  [RunEnd.Running]: StreamState.Running,
  [RunEnd.Whole]: StreamState.Whole,
  [RunEnd.Cancelled]: StreamState.Cancelled,
  [RunEnd.Died]: StreamState.Absent
}

/** A run of a request in an engine's batch, and the connections that receive it. */
export class EngineRun {
  /** Number of tokens generated so far. */
  offset: number
  end = RunEnd.Running
  /** Time at which the prompt has been read; set when the run enters the batch. */
  firstTokenAtMs = 0
  readonly followers = new Set<RunFollower>()
  private readonly answer: AnswerText
  private readonly length: number
  private readonly promptTokens: number

  constructor (readonly request: GenerateRequest, private readonly close: RunCloser) {
    this.answer = answerText(request)
    this.length = Math.min(this.answer.length, request.maxTokens)
    this.offset = Math.min(request.resumeOffset, this.length)
    this.promptTokens = countTokens(request.prompt)
  }

  get finished (): boolean {
    return this.end !== RunEnd.Running
  }

  status (): StreamStatus {
    return { requestId: this.request.requestId, state: FINISHED_STATES[this.end], offset: this.offset }
  }

  follow (follower: RunFollower): void {
    this.followers.add(follower)
    this.deliver(follower)
  }

  /** Generates the next tokens, and sends them on all connections. */
  step (tokens: number): void {
    this.offset = Math.min(this.length, this.offset + tokens)
    if (this.offset === this.length) this.settle(RunEnd.Whole)
    for (const follower of [...this.followers]) this.deliver(follower)
  }

  cancel (): void {
    if (this.finished) return
    this.settle(RunEnd.Cancelled)
    for (const follower of [...this.followers]) this.deliver(follower)
  }

  /** Ends the run as lost: all connections break without an end-of-stream marker. */
  die (): void {
    if (!this.finished) this.settle(RunEnd.Died)
    for (const follower of this.followers) follower.destroy()
    this.followers.clear()
  }

  /** Sends a connection all tokens that it has not received in one chunk, and the end-of-stream marker once the run has ended. */
  deliver (follower: RunFollower): void {
    if (!this.followers.has(follower) || !follower.writable()) return
    if (follower.offset < this.offset) this.deliverTokens(follower)
    if (!this.finished) return
    follower.write(this.endChunk(follower))
    follower.finish()
    this.followers.delete(follower)
  }

  private settle (end: RunEnd): void {
    this.end = end
    this.close(end)
  }

  private deliverTokens (follower: RunFollower): void {
    const offset = follower.offset
    let text = ''
    for (let token = offset; token < this.offset; token++) text += this.answer.token(token)
    follower.offset = this.offset
    follower.write({ kind: ChunkKind.Tokens, requestId: this.request.requestId, attempt: follower.attempt, offset, tokens: this.offset - offset, text })
  }

  private endChunk (follower: RunFollower): GenerateChunk {
    const stopped = this.length < this.request.maxTokens || this.answer.length === this.length
    const whole = stopped ? FinishReason.Stop : FinishReason.Length
    const finishReason = this.end === RunEnd.Cancelled ? FinishReason.Cancelled : whole
    return { kind: ChunkKind.End, requestId: this.request.requestId, attempt: follower.attempt, offset: this.offset, finishReason, promptTokens: this.promptTokens }
  }
}
