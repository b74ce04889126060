import { failed, perform, success, type Effect, type Procedure, type Result } from 'dotterelspur'
import type { AdminCall } from '../connection/callNodes.js'
import { CommandErrorKind, type CommandError } from './CommandError.js'

export enum CommandEffectKind {
  Call = 'call',
  ReadFile = 'read-file',
  CreateChangeToken = 'create-change-token',
  Wait = 'wait',
  Now = 'now'
}

interface CallNodesEffect extends Effect<CommandEffectKind.Call, Result<unknown, CommandError>> { readonly call: AdminCall }
interface ReadFileEffect extends Effect<CommandEffectKind.ReadFile, Result<Uint8Array, CommandError>> { readonly path: string }
type CreateChangeTokenEffect = Effect<CommandEffectKind.CreateChangeToken, string>
interface WaitEffect extends Effect<CommandEffectKind.Wait, null> { readonly durationMs: number }
type NowEffect = Effect<CommandEffectKind.Now, number>

/** What commands ask of the world. */
export type CommandEffect = CallNodesEffect | ReadFileEffect | CreateChangeTokenEffect | WaitEffect | NowEffect

/** The steps of a command that end in `Value` or in an error. */
export type Steps<Value> = Procedure<CommandEffect, Result<Value, CommandError>>

/** A schema that the answer must fit. */
export interface AnswerSchema<Value> {
  safeParse (input: unknown): { success: true, data: Value } | { success: false, error: { message: string } }
}

/** Reads something. */
export function * get<Value> (path: string, schema: AnswerSchema<Value>): Steps<Value> {
  return yield * call({ method: 'GET', path, body: null, changeToken: null }, schema)
}

/** Asks a node and checks the answer. */
export function * call<Value> (request: AdminCall, schema: AnswerSchema<Value>): Steps<Value> {
  const answer = yield * perform<CallNodesEffect>({ kind: CommandEffectKind.Call, call: request })
  if (!answer.ok) return answer
  const parsed = schema.safeParse(answer.value)
  if (parsed.success) return success(parsed.data)
  return failed({ kind: CommandErrorKind.Malformed, message: `the answer to ${request.method} ${request.path} is not as expected: ${parsed.error.message}` })
}

/** Reads a file; `-` is standard input. */
export function * readFile (path: string): Steps<Uint8Array> {
  return yield * perform<ReadFileEffect>({ kind: CommandEffectKind.ReadFile, path })
}

export function * createChangeToken (): Procedure<CommandEffect, string> {
  return yield * perform<CreateChangeTokenEffect>({ kind: CommandEffectKind.CreateChangeToken })
}

export function * wait (durationMs: number): Procedure<CommandEffect, null> {
  return yield * perform<WaitEffect>({ kind: CommandEffectKind.Wait, durationMs })
}

export function * nowMs (): Procedure<CommandEffect, number> {
  return yield * perform<NowEffect>({ kind: CommandEffectKind.Now })
}
