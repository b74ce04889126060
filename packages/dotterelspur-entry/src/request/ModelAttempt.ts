import {
  AttemptResult, EndpointErrorKind, InterruptKind, StreamEventKind, groupTargetId, isInterrupt,
  type ChunkKind, type EndpointError, type GroupView, type NextEvent, type ReceivedEvent, type RequestContent, type RouteAttempt
} from 'dotterelspur'
import type { ExchangeTracker } from 'dotterelspur-poison'
import type { EntryContext } from '../process/EntryContext.js'

/** What the router and the check for poison requests learn of one attempt. */
export class ModelAttempt {
  private tokens = 0
  private result = AttemptResult.Cancelled
  private silent = false
  private route: RouteAttempt | null
  private readonly exchange: ExchangeTracker | null

  /** @param route null for a stream that is followed after its attempt has ended */
  constructor (private readonly context: EntryContext, private readonly content: RequestContent, readonly group: GroupView, route: RouteAttempt | null) {
    this.route = route
    this.exchange = route === null ? null : context.poison.guard.trackExchange(content)
  }

  get isCompleted (): boolean {
    return this.result === AttemptResult.Completed
  }

  get isRefused (): boolean {
    return this.result === AttemptResult.Refused
  }

  noteEvent (event: NextEvent): void {
    this.silent = event !== null && isInterrupt(event) && (this.silent || event.kind === InterruptKind.Stalled)
    if (event === null) this.result = AttemptResult.Broken
    else if (!isInterrupt(event)) this.noteStreamEvent(event)
  }

  /** Starts the check whether the endpoint has terminated; called when the connection was lost. */
  noteLoss (): Promise<void> {
    const { group, formation, leaderAddress } = this.group
    return this.context.poison.noteLoss({ content: this.content, endpoint: groupTargetId(group, formation), url: leaderAddress, tokens: this.tokens })
  }

  end (): void {
    this.exchange?.end()
    if (this.route === null) return
    const result = this.silent && this.result === AttemptResult.Cancelled ? AttemptResult.Broken : this.result
    this.context.router.end(this.route, result, this.context.clock.nowMs(), this.tokens)
    this.route = null
  }

  private noteStreamEvent (event: ReceivedEvent): void {
    if (event.kind === StreamEventKind.Chunk) this.noteChunk(event.chunk)
    else this.noteError(event.error)
  }

  private noteError (error: EndpointError): void {
    this.result = RESULT_BY_ERROR[error.kind]
    if (error.kind === EndpointErrorKind.Refused && this.route !== null) this.context.router.recordBackoff(this.route, error.retryAfterMs, this.context.clock.nowMs())
  }

  private noteChunk (chunk: { readonly kind: ChunkKind, readonly tokens?: number }): void {
    if (chunk.tokens === undefined) {
      this.result = AttemptResult.Completed
      this.context.poison.guard.noteAnswer(this.content)
      return
    }
    if (this.route !== null) this.context.router.recordFirstToken(this.route, this.context.clock.nowMs())
    this.tokens += chunk.tokens
    this.exchange?.noteProgress()
  }
}

const CONNECTION_LOSS_ERRORS: ReadonlySet<EndpointErrorKind> = new Set([EndpointErrorKind.Ambiguous, EndpointErrorKind.Broken])

/** Whether the connection was lost before the answer was complete. */
export function isConnectionLost (event: NextEvent): boolean {
  return event === null || ('kind' in event && event.kind === StreamEventKind.Error && CONNECTION_LOSS_ERRORS.has(event.error.kind))
}

const RESULT_BY_ERROR: Readonly<Record<EndpointErrorKind, AttemptResult>> = {
  [EndpointErrorKind.NotRun]: AttemptResult.Broken,
  [EndpointErrorKind.WrongFormation]: AttemptResult.Refused,
  [EndpointErrorKind.Fenced]: AttemptResult.Refused,
  [EndpointErrorKind.Refused]: AttemptResult.Refused,
  [EndpointErrorKind.Ambiguous]: AttemptResult.Broken,
  [EndpointErrorKind.Broken]: AttemptResult.Broken,
  [EndpointErrorKind.Failed]: AttemptResult.Failed,
  [EndpointErrorKind.Malformed]: AttemptResult.Broken
}
