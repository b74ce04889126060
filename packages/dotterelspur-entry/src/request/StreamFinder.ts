import {
  ChunkVerdictKind, FinishReason, OutcomeReason, StreamEventKind, StreamState, answered, checkChunk, unknownOutcome,
  type ChunkCursor, type GroupView
} from 'dotterelspur'
import type { EntryContext } from '../process/EntryContext.js'
import { RunEventKind, RunKind, finishedWith, type RunEvents, type RunRequest } from './RunRequest.js'

/**
 * Finds the stream of an id whose home has terminated. The request is never sent again: if an engine still has the stream,
 * the caller gets the whole answer from it; otherwise the outcome stays unknown.
 */
export class StreamFinder {
  constructor (private readonly context: EntryContext) {}

  async find (request: RunRequest): Promise<RunEvents | null> {
    if (request.kind !== RunKind.Model) return null
    const { engines, fleet, timing } = this.context
    const groups = fleet.groupsOf(request.team).filter((group) => group.model === request.model)
    const statuses = await Promise.all(groups.map((group) => engines.lookup(group.leaderAddress, request.requestId, timing.lookupTimeoutMs)))
    const index = statuses.findIndex((status) => status.ok && (status.value.state === StreamState.Running || status.value.state === StreamState.Whole))
    return index === -1 ? null : this.follow(groups[index]!, request)
  }

  private async * follow (group: GroupView, request: RunRequest): RunEvents {
    const abort = new AbortController()
    const cancelDeadline = this.context.clock.registerTimer(request.deadlineMs, () => { abort.abort() })
    let cursor: ChunkCursor = { requestId: request.requestId, attempt: null, offset: 0 }
    try {
      for await (const event of this.context.engines.resume(group.leaderAddress, request.requestId, 0, 0, abort.signal)) {
        if (event.kind === StreamEventKind.Silent) continue
        if (event.kind === StreamEventKind.Error) break
        const verdict = checkChunk(cursor, event.chunk)
        const { offset } = cursor
        cursor = verdict.cursor
        if (verdict.kind === ChunkVerdictKind.Drop) continue
        if (verdict.kind === ChunkVerdictKind.Accept) {
          yield [{ kind: RunEventKind.Text, offset, tokens: verdict.tokens, text: verdict.text }]
          continue
        }
        if (verdict.kind === ChunkVerdictKind.Completed) {
          const { finishReason, promptTokens } = verdict
          yield [{ ...finishedWith(answered()), finishReason: finishReason ?? FinishReason.Stop, promptTokens, completionTokens: cursor.offset }]
          return
        }
        break
      }
      yield [finishedWith(unknownOutcome(OutcomeReason.HomeGone, 'the home of this id is gone, and its stream broke off'))]
    } finally {
      cancelDeadline()
      abort.abort()
    }
  }
}
