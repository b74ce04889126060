import {
  CallEventKind, MeshErrorKind, OutcomeKind, OutcomeReason, notRun, sleep, unknownOutcome,
  type HomeId, type MeshApi, type Outcome, type RequestId, type TeamId, type Teardown
} from 'dotterelspur'
import type { EntryContext } from '../process/EntryContext.js'
import type { HomeRuns } from './HomeRuns.js'
import { RunEventKind, finishedWith, type FinishedEvent, type RunEvent, type RunEvents, type RunRequest } from './RunRequest.js'
import type { StreamFinder } from './StreamFinder.js'

const TICKET_METHOD = 'request.ticket'
const RUN_METHOD = 'request.run'
const FOLLOW_METHOD = 'request.follow'
const MAX_FOLLOWS = 3

/** Asks a home what became of one of its ids, waiting for the end of a run. */
interface FollowRequest {
  readonly requestId: RequestId
  readonly team: TeamId
  readonly waitMs: number
}

enum CallResultKind {
  /** A Finished event came. */
  Finished = 'finished',
  /** The call failed and nothing was done by it. */
  NotExecuted = 'nothing-done',
  /** The home's process is gone for good. */
  HomeGone = 'gone',
  /** It may have been taken. */
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

/** Passes requests to the home that decides on them, and serves those that other nodes pass to this one. */
export class HomeLink {
  private readonly mesh: MeshApi

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

  /** Runs a request at its home. The home's text so far is never repeated to the consumer. */
  async * run (home: HomeId, request: RunRequest): RunEvents {
    this.context.observer.forwardedToHome()
    const ticket = request.submission === null ? await this.fetchTicket(home) : 0
    if (typeof ticket !== 'number') return yield * this.handleTicketFailure(request, ticket)
    yield * this.runWithTicket(home, { ...request, ticket })
  }

  private async * runWithTicket (home: HomeId, request: RunRequest): RunEvents {
    const relay = new RelayDeduplicator()
    for (let follows = 0; follows <= MAX_FOLLOWS; follows += 1) {
      if (follows > 0) await sleep(this.context.clock, this.context.timing.retryPauseMs)
      const method = follows === 0 ? RUN_METHOD : FOLLOW_METHOD
      const body: RunRequest | FollowRequest = follows === 0 ? request : { requestId: request.requestId, team: request.team, waitMs: request.deadlineMs }
      const result = yield * this.call(home, method, body, relay)
      if (result === CallResultKind.Finished) return
      if (result === CallResultKind.HomeGone && follows > 0) break
      if (result === CallResultKind.HomeGone) return yield * this.handleHomeGone(request)
      if (result === CallResultKind.NotExecuted && follows === 0) return yield [finishedWith(unsentOutcome(request, 'its home can\'t be reached now', OutcomeReason.HomeGone))]
    }
    if (!relay.started) return yield * this.findStream(request, unknownOutcome(OutcomeReason.HomeGone, 'the link to its home broke'))
    yield [finishedWith(unknownOutcome(OutcomeReason.HomeGone, 'the link to its home broke'))]
  }

  /** What a home on another node knows of an id; the last event says it. */
  async * follow (home: HomeId, request: FollowRequest): RunEvents {
    const result = yield * this.call(home, FOLLOW_METHOD, request, new RelayDeduplicator())
    if (result !== CallResultKind.Finished) yield [finishedWith(unknownOutcome(OutcomeReason.HomeGone, 'the home of this id is gone or can\'t be reached'))]
  }

  private async * call (home: HomeId, method: string, request: RunRequest | FollowRequest, relay: RelayDeduplicator): AsyncGenerator<readonly RunEvent[], CallResultKind> {
    const abort = new AbortController()
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

  /** The request itself was not sent yet. */
  private async * handleTicketFailure (request: RunRequest, result: CallResultKind): RunEvents {
    if (result === CallResultKind.HomeGone) return yield * this.handleHomeGone(request)
    yield [finishedWith(unsentOutcome(request, 'its home can\'t be reached now', OutcomeReason.HomeGone))]
  }

  private async * handleHomeGone (request: RunRequest): RunEvents {
    yield * this.findStream(request, unsentOutcome(request, 'the home of this id is gone; it is not run again', OutcomeReason.HomeGone))
  }

  /** Looks for a stream with this id at the endpoints; it may have outlived its home. */
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

/** Not-run can be shown only where the caller says that this is its first submission: no other copy exists. */
export function unsentOutcome (request: Pick<RunRequest, 'submission'>, message: string, reason: OutcomeReason, retryAfterMs = 1_000): Outcome {
  return request.submission === 1 ? notRun(reason, message, retryAfterMs) : unknownOutcome(reason, message, retryAfterMs)
}

/** Passes on what the consumer doesn't have yet: after a broken link, the home gives the whole answer again. */
class RelayDeduplicator {
  private passedCharacters = 0
  private callCharacters = 0
  finished = false

  get started (): boolean {
    return this.passedCharacters > 0
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

  /** An answer that is no longer held can't complete one of which the caller has a part. */
  private checkComplete (event: FinishedEvent): FinishedEvent {
    if (!event.withheld || !this.started) return event
    return finishedWith(unknownOutcome(OutcomeReason.StreamBroken, 'the rest of the answer is no longer held'))
  }
}
