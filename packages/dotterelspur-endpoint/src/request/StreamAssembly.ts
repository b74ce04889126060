import { ChunkKind, EndpointErrorKind, FinishReason, failed, success } from 'dotterelspur'
import type { EndpointError, GenerateChunk, RequestId, Result } from 'dotterelspur'

/** How much of a stream has been received in order. */
export interface StreamAssembly {
  readonly requestId: RequestId
  readonly attempt: number
  /** The token that must come next. */
  readonly offset: number
  readonly ended: boolean
}

export interface AssemblyStep {
  readonly assembly: StreamAssembly
  readonly chunk: GenerateChunk
}

type Fields = Readonly<Record<string, unknown>>

const CHUNK_KINDS: readonly unknown[] = Object.values(ChunkKind)
const FINISH_REASONS: readonly unknown[] = Object.values(FinishReason)

export function startAssembly (requestId: RequestId, attempt: number, offset: number): StreamAssembly {
  return { requestId, attempt, offset, ended: false }
}

/**
 * Takes one line of a stream. What goes wrong: an engine, a proxy or a mixed-up connection delivers another
 * request's tokens, or the same ones twice, or skips some. A caller would see a whole-looking answer that is not
 * its own. Each chunk therefore proves whose it is and where it belongs, and the first that doesn't ends the stream.
 */
export function acceptLine (assembly: StreamAssembly, line: string): Result<AssemblyStep, EndpointError> {
  const chunk = parseChunk(line)
  if (chunk === undefined) return failed({ kind: EndpointErrorKind.Malformed, reason: 'a line is no chunk' })
  const fault = faultOf(assembly, chunk)
  if (fault !== undefined) return failed(broken(assembly, fault))
  return success({ assembly: advance(assembly, chunk), chunk })
}

/** Judges the end of the connection: whole only after an end mark. */
export function acceptClose (assembly: StreamAssembly): EndpointError | undefined {
  return assembly.ended ? undefined : broken(assembly, 'the stream ended without an end mark')
}

function broken (assembly: StreamAssembly, reason: string): EndpointError {
  return { kind: EndpointErrorKind.Broken, reason, offset: assembly.offset }
}

function faultOf (assembly: StreamAssembly, chunk: GenerateChunk): string | undefined {
  if (assembly.ended) return 'a chunk came after the end mark'
  if (chunk.requestId !== assembly.requestId) return 'a chunk of another request'
  if (chunk.attempt !== assembly.attempt) return `a chunk of attempt ${chunk.attempt}`
  if (chunk.offset > assembly.offset) return `a gap: offset ${chunk.offset} instead of ${assembly.offset}`
  if (chunk.offset < assembly.offset) return `a repeated chunk: offset ${chunk.offset} instead of ${assembly.offset}`
  return undefined
}

function advance (assembly: StreamAssembly, chunk: GenerateChunk): StreamAssembly {
  if (chunk.kind === ChunkKind.End) return { ...assembly, ended: true }
  return { ...assembly, offset: assembly.offset + chunk.tokens }
}

function parseChunk (line: string): GenerateChunk | undefined {
  let value: unknown
  try {
    value = JSON.parse(line)
  } catch {
    return undefined
  }
  if (typeof value !== 'object' || value === null) return undefined
  const fields = value as Fields
  if (!CHUNK_KINDS.includes(fields.kind) || !hasIdentity(fields)) return undefined
  const complete = fields.kind === ChunkKind.Tokens ? hasTokens(fields) : hasEnd(fields)
  return complete ? value as GenerateChunk : undefined
}

function isCount (value: unknown, minimum: number): boolean {
  return Number.isSafeInteger(value) && (value as number) >= minimum
}

function hasIdentity (fields: Fields): boolean {
  return typeof fields.requestId === 'string' && isCount(fields.attempt, 0) && isCount(fields.offset, 0)
}

function hasTokens (fields: Fields): boolean {
  return isCount(fields.tokens, 1) && typeof fields.text === 'string'
}

function hasEnd (fields: Fields): boolean {
  return FINISH_REASONS.includes(fields.finishReason) && isCount(fields.promptTokens, 0)
}
