import { failed, perform, success, type Effect, type Procedure, type Result } from 'dotterelspur'
import { AdminErrorKind, adminErrorReplySchema, type AdminError } from 'dotterelspur-settings'
import { CommandErrorKind, refused, type CommandError } from '../process/CommandError.js'
import { TransportReplyKind, type TransportReply, type TransportRequest } from './AdminTransport.js'

/** A request to whichever node answers. */
export interface AdminCall {
  readonly method: TransportRequest['method']
  /** Path and query. */
  readonly path: string
  readonly body: unknown
  /** Set for changes: the same change may be sent again without being done twice. */
  readonly changeToken: string | null
}

export enum CallEffectKind {
  Send = 'send',
  Wait = 'wait'
}

interface SendEffect extends Effect<CallEffectKind.Send, TransportReply> {
  readonly address: string
  readonly call: AdminCall
}
interface WaitEffect extends Effect<CallEffectKind.Wait, null> { readonly durationMs: number }
export type CallEffect = SendEffect | WaitEffect

const ROUNDS = 3
const ROUND_PAUSE_MS = 1_000
const HTTP_OK = 200
const HTTP_MULTIPLE = 300

/** What the attempts so far come to. */
interface Progress {
  /** A copy of the change may have taken effect, or may yet. */
  readonly unsettled: boolean
  readonly error: CommandError
}

/**
 * Asks the nodes in turn until one answers for good.
 *
 * A node that can't be reached, or that is cut off from the store, says nothing about the others, so the next is
 * asked. A change whose answer was lost is sent again with the same change token: the node that gets it finds the
 * token if the first copy took effect. Once an answer was lost, "the store is out" no longer means that nothing
 * was written, and the end is reported as unsettled.
 */
export function * callNodes (addresses: readonly string[], call: AdminCall): Procedure<CallEffect, Result<unknown, CommandError>> {
  let progress: Progress = { unsettled: false, error: { kind: CommandErrorKind.Unreachable, message: 'no address of a node is given' } }
  for (let round = 0; round < ROUNDS; round++) {
    if (round > 0) yield * perform<WaitEffect>({ kind: CallEffectKind.Wait, durationMs: ROUND_PAUSE_MS })
    for (const address of addresses) {
      const reply = yield * perform<SendEffect>({ kind: CallEffectKind.Send, address, call })
      const result = readReply(address, reply, call)
      if (result.ok) return result
      if (!worthAnother(result.error)) return result
      progress = { unsettled: progress.unsettled || isUnsettled(result.error), error: result.error }
    }
    if (!progress.unsettled) break
  }
  return failed(progress.unsettled && call.changeToken !== null ? unsettledError(progress.error, call.changeToken) : progress.error)
}

function readReply (address: string, reply: TransportReply, call: AdminCall): Result<unknown, CommandError> {
  if (reply.kind === TransportReplyKind.NotSent) return failed({ kind: CommandErrorKind.Unreachable, message: `${address} can't be reached: ${reply.reason}` })
  if (reply.kind === TransportReplyKind.NoAnswer) {
    const message = `${address} gave no whole answer: ${reply.reason}`
    return failed(call.changeToken === null ? { kind: CommandErrorKind.Unreachable, message } : { kind: CommandErrorKind.Unsettled, message, changeToken: call.changeToken })
  }
  const body = readJson(reply.text)
  if (reply.status >= HTTP_OK && reply.status < HTTP_MULTIPLE && body !== undefined) return success(body)
  const refusal = adminErrorReplySchema.safeParse(body)
  if (refusal.success) return failed(refused(refusal.data.error))
  return failed({ kind: CommandErrorKind.Malformed, message: `${address} answered with status ${reply.status}, but not as a node does` })
}

function readJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

const PASSING: ReadonlySet<AdminError['kind']> = new Set([AdminErrorKind.StoreUnavailable, AdminErrorKind.OutcomeUnknown, AdminErrorKind.Internal])

function worthAnother (error: CommandError): boolean {
  return error.kind === CommandErrorKind.Refused ? PASSING.has(error.error.kind) : true
}

function isUnsettled (error: CommandError): boolean {
  if (error.kind !== CommandErrorKind.Refused) return error.kind === CommandErrorKind.Unsettled
  return error.error.kind === AdminErrorKind.OutcomeUnknown || error.error.kind === AdminErrorKind.Internal
}

function unsettledError (last: CommandError, changeToken: string): CommandError {
  return { kind: CommandErrorKind.Unsettled, changeToken, message: `the change may or may not have taken effect; read it back with "get" before you send it again. Last: ${last.message}` }
}
