import type { IncomingMessage } from 'node:http'
import { OutcomeReason, RequestSafety, failed, success, unknownOutcome, type Outcome, type RequestId, type Result } from 'dotterelspur'
import type { EntryContext } from '../process/EntryContext.js'
import type { NodeGate } from '../process/NodeGate.js'
import type { CallHeaders } from './CallerRequest.js'
import type { HomeRuns } from './HomeRuns.js'
import { mintRequestId, type KeyedRuns } from './KeyedRuns.js'
import type { RunEvents, RunRequest } from './RunRequest.js'

export interface StartedRun {
  readonly requestId: RequestId
  readonly events: RunEvents
}

/** A request that was not started. */
export interface Refusal {
  readonly outcome: Outcome
  readonly retryable: boolean
  readonly entries: readonly string[] | undefined
}

const NEW_WORK_REFUSED: ReadonlySet<OutcomeReason> = new Set([OutcomeReason.Draining, OutcomeReason.Isolated])

/** Starts the runs of validated requests. */
export class Intake {
  constructor (private readonly context: EntryContext, private readonly gate: NodeGate, private readonly homeRuns: HomeRuns, private readonly keyed: KeyedRuns) {}

  mintRequestId (): RequestId {
    return mintRequestId(this.context)
  }

  /** Whether a request that is accepted now may have waited through a pause of this process. */
  isStale (): boolean {
    return this.context.pauses.isStale(this.context.clock.nowMs())
  }

  async start (run: RunRequest, headers: CallHeaders, message: IncomingMessage): Promise<Result<StartedRun, Refusal>> {
    if (run.stale && await hasCallerDisconnected(message)) {
      const outcome = unknownOutcome(OutcomeReason.Cancelled, 'the caller disconnected while this node was paused')
      return failed({ outcome, retryable: true, entries: undefined })
    }
    if (run.safety === RequestSafety.NonIdempotent) return success(await this.keyed.run(run, headers.idempotencyKey))
    const refusal = this.gate.refusal()
    if (refusal !== null) return failed({ outcome: refusal, retryable: true, entries: this.gate.otherEntries() })
    return success({ requestId: run.requestId, events: this.homeRuns.runIdempotent(run) })
  }

  /** Addresses of other nodes, for outcomes with which this node refuses new requests. */
  entriesFor (outcome: Outcome): readonly string[] | undefined {
    return NEW_WORK_REFUSED.has(outcome.reason) ? this.gate.otherEntries() : undefined
  }
}

/**
 * Waits two turns of the event loop for a disconnect to be reported. After a pause, requests that waited in the kernel are
 * read before the ends of their connections.
 */
async function hasCallerDisconnected (message: IncomingMessage): Promise<boolean> {
  await nextEventLoopTurn()
  await nextEventLoopTurn()
  return message.socket.destroyed || message.socket.readableEnded
}

function nextEventLoopTurn (): Promise<void> {
  return new Promise((resolve) => { setImmediate(resolve) })
}
