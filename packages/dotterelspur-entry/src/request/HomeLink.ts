import {
  CallEventKind, MeshErrorKind, OutcomeKind, OutcomeReason, notRun, sleep, unknownOutcome,
  type HomeId, type MeshApi, type Outcome, type RequestId, type TeamId, type Teardown
} from 'dotterelspur'
import type { EntryContext } from '../process/EntryContext.js'
import type { HomeRuns } from './HomeRuns.js'
import { NodeEnd } from './NodeEnd.js'
import { RunEventKind, finishedWith, type FinishedEvent, type RunEvent, type RunEvents, type RunRequest } from './RunRequest.js'
import type { StreamFinder } from './StreamFinder.js'

const TICKET_METHOD = 'request.ticket'
const RUN_METHOD = 'request.run'
const FOLLOW_METHOD = 'request.follow'
/** Failed follows after which the run's stream is looked for at the endpoints. */
const FOLLOWS_BEFORE_SEARCH = 3
/** The pause before a follow grows with their number up to this many retry pauses. */
const MAX_FOLLOW_PAUSES = 10

/** Requests the outcome of an id from its home, and waits up to `waitMs` for a run of it to finish. */
interface FollowRequest {
  readonly requestId: RequestId
  readonly team: TeamId
  readonly waitMs: number
}

enum CallResultKind {
  /** The home sent a Finished event. */
  Finished = 'finished',
  /** The call failed before the home executed anything. */
  NotExecuted = 'nothing-done',
  /** The process that was the home has terminated, so the call can never succeed. */
  HomeGone = 'gone',
  /** The call broke off; the home may have received the request. */
  Interrupted = 'interrupted'
}

const CALL_RESULT_BY_ERROR: Readonly<Record<MeshErrorKind, CallResultKind>> = {
  [MeshErrorKind.UnknownNode]: CallResultKind.HomeGone,
  [MeshErrorKind.WrongIncarnation]: CallResultKind.HomeGone,
  [MeshErrorKind.Unreachable]: CallResultKind.NotExecuted,
  [MeshErrorKind.Overloaded]: CallResultKind.NotExecuted,
  [MeshErrorKind.Interrupted]: CallResultKind.Interrupted,
  [MeshErrorKind.Rejected]: CallResultKind.Interrupted
}

/** A caller learns how its request has ended from any other entry. */
const AT_HOME = unknownOutcome(OutcomeReason.StreamBroken, 'this node stopped while the request ran at its home on another node, which goes on with it')

/** Forwards requests to the home nodes of their ids, and handles requests that other nodes forward to this node. */
export class HomeLink {
  private readonly mesh: MeshApi
  private readonly nodeEnd = new NodeEnd(AT_HOME)

  constructor (private readonly context: EntryContext, private readonly homeRuns: HomeRuns, private readonly finder: StreamFinder) {
    this.mesh = context.mesh
  }

  start (): Teardown {
    const { homeRuns } = this
    const unregisterRun = this.mesh.registerCallHandler(RUN_METHOD, (request) => homeRuns.run(request as RunRequest))
    const unregisterFollow = this.mesh.registerCallHandler(FOLLOW_METHOD, (request) => {
      const { requestId, team, waitMs } = request as FollowRequest
      return homeRuns.follow(requestId, team, waitMs)
    })
    const unregisterTicket = this.mesh.registerCallHandler(TICKET_METHOD, () => sendTicket(homeRuns))
    return () => {
      unregisterTicket()
      unregisterRun()
      unregisterFollow()
    }
  }

  /** Runs a request at its home. Text that the consumer has received is not delivered again after a reconnect. */
  run (home: HomeId, request: RunRequest): RunEvents {
    return this.nodeEnd.until(this.forward(home, request))
  }

  /** Ends the waits for other homes, where the requests go on. */
  endAll (): void {
    this.nodeEnd.end()
  }

  private async * forward (home: HomeId, request: RunRequest): RunEvents {
    this.context.observer.forwardedToHome()
    const ticket = request.submission === null ? await this.fetchTicket(home) : 0
    if (typeof ticket !== 'number') return yield * this.handleTicketFailure(request, ticket)
    yield * this.runWithTicket(home, { ...request, ticket })
  }

  private async * runWithTicket (home: HomeId, request: RunRequest): RunEvents {
    const relay = new RelayDeduplicator()
    const deadlineAtMs = this.context.clock.nowMs() + request.deadlineMs
    const result = yield * this.call(home, RUN_METHOD, request, relay)
    if (result === CallResultKind.Finished) return
    if (result === CallResultKind.HomeGone) return yield * this.handleHomeGone(request)
    if (result === CallResultKind.NotExecuted) return yield [finishedWith(unsentOutcome(request, 'its home can\'t be reached now', OutcomeReason.HomeGone))]
    yield * this.followUntil(deadlineAtMs, home, request, relay)
  }

  /** Follows a run whose call broke off. Its home may be paused or cut off, and goes on with the run: only its end is final. */
  private async * followUntil (deadlineAtMs: number, home: HomeId, request: RunRequest, relay: RelayDeduplicator): RunEvents {
    const { clock, timing } = this.context
    const { requestId, team } = request
    for (let follows = 1; ; follows += 1) {
      await sleep(clock, timing.retryPauseMs * Math.min(follows, MAX_FOLLOW_PAUSES))
      const leftMs = deadlineAtMs - clock.nowMs()
      if (leftMs <= 0) break
      const result = yield * this.call(home, FOLLOW_METHOD, { requestId, team, waitMs: leftMs }, relay)
      if (result === CallResultKind.Finished) return
      if (result === CallResultKind.HomeGone) break
      const found = follows === FOLLOWS_BEFORE_SEARCH && !relay.started ? await this.finder.find(request) : null
      if (found !== null) return yield * found
    }
    if (!relay.started) return yield * this.findStream(request, unknownOutcome(OutcomeReason.HomeGone, 'the link to its home broke'))
    yield [finishedWith(unknownOutcome(OutcomeReason.HomeGone, 'the link to its home broke'))]
  }

  /** Requests the outcome of an id from its home on another node; the last event carries the outcome. */
  async * follow (home: HomeId, request: FollowRequest): RunEvents {
    const result = yield * this.call(home, FOLLOW_METHOD, request, new RelayDeduplicator())
    if (result !== CallResultKind.Finished) yield [finishedWith(unknownOutcome(OutcomeReason.HomeGone, 'the home of this id is gone or can\'t be reached'))]
  }

  private async * call (home: HomeId, method: string, request: RunRequest | FollowRequest, relay: RelayDeduplicator): AsyncGenerator<readonly RunEvent[], CallResultKind> {
    const abort = new AbortController()
    relay.beginCall()
    try {
      for await (const event of this.mesh.call(home, method, request, abort.signal)) {
        if (event.kind === CallEventKind.Error) return CALL_RESULT_BY_ERROR[event.error.kind]
        if (event.kind === CallEventKind.End) break
        const batch = relay.filter(event.message as readonly RunEvent[])
        if (batch.length > 0) yield batch
        if (relay.finished) return CallResultKind.Finished
      }
      return CallResultKind.Interrupted
    } finally {
      abort.abort()
    }
  }

  private async fetchTicket (home: HomeId): Promise<number | CallResultKind> {
    const abort = new AbortController()
    const iterator = this.mesh.call(home, TICKET_METHOD, null, abort.signal)[Symbol.asyncIterator]()
    const first = await iterator.next()
    await iterator.return?.()
    if (first.done === true || first.value.kind === CallEventKind.End) return CallResultKind.Interrupted
    return first.value.kind === CallEventKind.Message ? first.value.message as number : CALL_RESULT_BY_ERROR[first.value.error.kind]
  }

  /** Called when the ticket could not be fetched; the request has not been sent at that point. */
  private async * handleTicketFailure (request: RunRequest, result: CallResultKind): RunEvents {
    if (result === CallResultKind.HomeGone) return yield * this.handleHomeGone(request)
    yield [finishedWith(unsentOutcome(request, 'its home can\'t be reached now', OutcomeReason.HomeGone))]
  }

  private async * handleHomeGone (request: RunRequest): RunEvents {
    yield * this.findStream(request, unsentOutcome(request, 'the home of this id is gone; it is not run again', OutcomeReason.HomeGone))
  }

  /** Looks for a stream with this id at the endpoints, since a stream can outlive its home; without one, ends with `fallback`. */
  private async * findStream (request: RunRequest, fallback: Outcome): RunEvents {
    const found = await this.finder.find(request)
    if (found !== null) return yield * found
    if (fallback.kind === OutcomeKind.Unknown) this.context.observer.refusedAsUnknown(fallback.reason)
    yield [finishedWith(fallback)]
  }
}

async function * sendTicket (homeRuns: HomeRuns): AsyncIterable<number> {
  yield homeRuns.ticket
}

/**
 * Outcome of a request that was not sent. It is not-run only if the caller states that this is its first submission, so that
 * no other copy can have run; otherwise it is unknown.
 */
export function unsentOutcome (request: Pick<RunRequest, 'submission'>, message: string, reason: OutcomeReason, retryAfterMs = 1_000): Outcome {
  return request.submission === 1 ? notRun(reason, message, retryAfterMs) : unknownOutcome(reason, message, retryAfterMs)
}

/** Removes text that the consumer already has: after a broken link, the home sends the whole answer again. */
class RelayDeduplicator {
  private passedCharacters = 0
  private callCharacters = 0
  finished = false

  get started (): boolean {
    return this.passedCharacters > 0
  }

  /** The next call delivers the answer from its start. */
  beginCall (): void {
    this.callCharacters = 0
  }

  filter (batch: readonly RunEvent[]): readonly RunEvent[] {
    return batch.flatMap((event) => this.filterEvent(event))
  }

  private filterEvent (event: RunEvent): RunEvent[] {
    if (event.kind === RunEventKind.Finished) {
      this.finished = true
      return [this.checkComplete(event)]
    }
    if (event.kind === RunEventKind.Restart) this.passedCharacters = this.callCharacters = 0
    if (event.kind !== RunEventKind.Text) return [event]
    const fresh = event.text.slice(Math.max(0, this.passedCharacters - this.callCharacters))
    this.callCharacters += event.text.length
    if (fresh === '') return []
    this.passedCharacters += fresh.length
    return [{ ...event, text: fresh }]
  }

  /** If the home no longer has the answer, a part that the caller has received can't be completed. */
  private checkComplete (event: FinishedEvent): FinishedEvent {
    if (!event.withheld || !this.started) return event
    return finishedWith(unknownOutcome(OutcomeReason.StreamBroken, 'the home no longer has the rest of the answer'))
  }
}
