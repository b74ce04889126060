import {
  OpenKind, OutcomeMemory, OutcomeReason, parseRequestId, unknownOutcome,
  type Clock, type EndedRequest, type OpenDecision, type Outcome, type RequestId, type TeamId
} from 'dotterelspur'
import type { EntryContext } from '../process/EntryContext.js'
import type { NodeGate } from '../process/NodeGate.js'
import type { LocalRuns } from './LocalRuns.js'
import { RunEventKind, finishedWith, type FinishedEvent, type RunEvent, type RunEvents, type RunRequest } from './RunRequest.js'

/** The part of a finished run that is kept to answer later submissions of its id. */
export interface RetainedRun {
  /** Null when the answer was too long to keep. */
  readonly answer: readonly RunEvent[] | null
  readonly finished: FinishedEvent
}

type Decision = OpenDecision<RetainedRun>

const REFUSAL_OF: { readonly [Kind in Exclude<OpenKind, OpenKind.Run | OpenKind.InProgress | OpenKind.Ended>]: Outcome } = {
  [OpenKind.Forgotten]: unknownOutcome(OutcomeReason.OutcomeForgotten, 'the id is older than the outcomes that its home remembers; it is not run again'),
  [OpenKind.Mismatch]: unknownOutcome(OutcomeReason.InvalidRequest, 'the id or key refers to another request'),
  [OpenKind.IssuedInFuture]: unknownOutcome(OutcomeReason.InvalidRequest, 'the id was issued in the future'),
  [OpenKind.Full]: unknownOutcome(OutcomeReason.Overloaded, 'the home can\'t remember more ids now', 1_000)
}

/**
 * The home's part of at-most-once execution: only this process decides whether an id that names it as the home may run, and
 * it stores the outcome.
 */
export class HomeRuns {
  private readonly memory: OutcomeMemory<RetainedRun>
  /** Idempotent requests, remembered only so that callers can query their outcomes. */
  private readonly recent: OutcomeMemory<RetainedRun>
  private readonly waiters = new Map<RequestId, Set<() => void>>()
  private readonly clock: Clock

  constructor (private readonly context: EntryContext, private readonly runs: LocalRuns, private readonly gate: NodeGate) {
    const { limits, timing } = context
    this.clock = context.clock
    const common = { retentionMs: timing.outcomeMemoryMs, maxClockSkewMs: timing.maxIssuedAheadMs }
    this.memory = new OutcomeMemory({ ...common, maxEntries: limits.maxRememberedOutcomes })
    this.recent = new OutcomeMemory({ ...common, maxEntries: limits.maxRecentOutcomes })
  }

  /** Ticket that a relaying node fetches while its caller waits; see OutcomeMemory. */
  get ticket (): number {
    return this.memory.ticket
  }

  /** Runs an id whose home is this process, or returns the outcome of its earlier run. */
  run (request: RunRequest): RunEvents {
    const decision = this.open(this.memory, request)
    if (decision.kind === OpenKind.Run) return this.start(request)
    if (decision.kind === OpenKind.InProgress || decision.kind === OpenKind.Ended) return this.follow(request.requestId, request.team, request.deadlineMs)
    const outcome = REFUSAL_OF[decision.kind]
    this.context.observer.refusedAsUnknown(outcome.reason)
    return singleBatch(finishedWith(outcome))
  }

  /** Runs an idempotent request under a new id that this process created. */
  runIdempotent (request: RunRequest): RunEvents {
    const { requestId } = request
    if (this.open(this.recent, request).kind !== OpenKind.Run) return this.runs.start(request)
    return this.runs.start(request, (event) => {
      if (event.kind === RunEventKind.Finished) this.recent.close(requestId, { outcome: event.outcome, answer: null }, this.clock.nowMs())
    })
  }

  /** Waits for a run to finish, then replays its answer. */
  async * follow (requestId: RequestId, team: TeamId, waitMs: number): RunEvents {
    const deadlineAtMs = this.clock.nowMs() + waitMs
    for (;;) {
      const decision = this.lookup(requestId, team)
      if (decision?.kind === OpenKind.Ended) {
        yield replay(decision.ended)
        return
      }
      if (decision?.kind !== OpenKind.InProgress) {
        yield [finishedWith(decision === undefined ? unknownIdOutcome() : REFUSAL_OF[OpenKind.Forgotten])]
        return
      }
      const leftMs = deadlineAtMs - this.clock.nowMs()
      if (leftMs <= 0) {
        yield [finishedWith(unknownOutcome(OutcomeReason.DuplicateInProgress, 'a request with this id is still running; try again later', 1_000))]
        return
      }
      await this.waitForEnd(requestId, leftMs)
    }
  }

  /** State of an id whose home is this process; undefined if the home has no request of this team with the id. */
  lookup (requestId: RequestId, team: TeamId): Decision | undefined {
    const identity = parseRequestId(requestId)
    if (identity === undefined) return undefined
    const nowMs = this.clock.nowMs()
    const recent = this.recent.lookup(requestId, Infinity, team, nowMs)
    return recent ?? this.memory.lookup(requestId, identity.issuedWallMs, team, nowMs)
  }

  private open (memory: OutcomeMemory<RetainedRun>, request: RunRequest): Decision {
    const identity = parseRequestId(request.requestId)!
    const { requestId, team, fingerprint, submission, stale, ticket } = request
    const opened = { requestId, issuedWallMs: identity.issuedWallMs, team, fingerprint, submissionNumber: submission, stale, ticket: ticket ?? memory.ticket }
    return memory.open(opened, this.clock.nowMs(), this.clock.wallMs())
  }

  private start (request: RunRequest): RunEvents {
    const refusal = this.gate.refusal()
    if (refusal !== null) {
      this.close(request.requestId, { outcome: refusal, answer: { answer: [], finished: finishedWith(refusal) } })
      return singleBatch(finishedWith(refusal))
    }
    const recorder = new AnswerRecorder(this.context.limits.maxRetainedAnswerBytes)
    return this.runs.start(request, (event) => {
      if (event.kind !== RunEventKind.Finished) return recorder.add(event)
      this.close(request.requestId, { outcome: event.outcome, answer: { answer: recorder.recordedEvents(), finished: event } })
    })
  }

  private close (requestId: RequestId, ended: EndedRequest<RetainedRun>): void {
    this.memory.close(requestId, ended, this.clock.nowMs())
    const waiting = this.waiters.get(requestId)
    this.waiters.delete(requestId)
    for (const wake of waiting ?? []) wake()
  }

  private waitForEnd (requestId: RequestId, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        cancel()
        resolve()
      }
      const cancel = this.clock.registerTimer(waitMs, wake)
      const waiting = this.waiters.get(requestId) ?? new Set()
      waiting.add(wake)
      this.waiters.set(requestId, waiting)
    })
  }
}

/** Records an answer up to a maximum size. */
class AnswerRecorder {
  private readonly texts: string[] = []
  private tokens = 0
  private response: RunEvent | null = null
  private sizeBytes = 0

  constructor (private readonly maxBytes: number) {}

  add (event: Exclude<RunEvent, FinishedEvent>): void {
    if (event.kind === RunEventKind.Restart) return this.clear()
    if (event.kind === RunEventKind.Response) {
      this.response = event
      this.sizeBytes += event.response.body.byteLength
      return
    }
    this.sizeBytes += event.text.length
    this.tokens += event.tokens
    if (this.sizeBytes <= this.maxBytes) this.texts.push(event.text)
  }

  recordedEvents (): readonly RunEvent[] | null {
    if (this.sizeBytes > this.maxBytes) return null
    if (this.response !== null) return [this.response]
    return this.tokens === 0 ? [] : [{ kind: RunEventKind.Text, offset: 0, tokens: this.tokens, text: this.texts.join('') }]
  }

  private clear (): void {
    this.texts.length = 0
    this.tokens = 0
    this.sizeBytes = 0
  }
}

/** The events of an ended run; partial text of one that didn't end whole is not given again. */
function replay (ended: EndedRequest<RetainedRun>): readonly RunEvent[] {
  const retained = ended.answer
  if (retained === null) return [{ ...finishedWith(ended.outcome), withheld: true }]
  if (retained.answer === null) return [{ ...retained.finished, withheld: true }]
  return [...retained.answer, retained.finished]
}

function unknownIdOutcome (): Outcome {
  return unknownOutcome(OutcomeReason.HomeGone, 'the home has no request with this id')
}

export async function * singleBatch (...events: readonly RunEvent[]): RunEvents {
  yield events
}
