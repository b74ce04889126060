import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { createRandom } from 'dotterelspur'
import type { PlatformReply } from '../../request/PlatformCall.js'
import { ReplyKind } from '../../request/PlatformCall.js'
import { PlatformEffectKind } from '../../request/PlatformEffects.js'
import type { PlatformEffect } from '../../request/PlatformEffects.js'
import type { ProcedureContext } from '../../request/readProcedure.js'
import { SeenVersions } from '../../process/SeenVersions.js'

export function createContext (maximumAttempts = 4): ProcedureContext {
  return { seen: new SeenVersions(100), random: createRandom(1), maximumAttempts, backoff: { baseMs: 10, limitMs: 100 } }
}

export function createResponse (status: number, body: unknown): PlatformReply {
  return { kind: ReplyKind.Response, status, body }
}

export const NO_RESPONSE: PlatformReply = { kind: ReplyKind.NoResponse, reason: 'reset' }
export const NOT_SENT: PlatformReply = { kind: ReplyKind.NotSent, reason: 'refused' }

export interface ProcedureRun<Value> {
  readonly value: Value
  /** The HTTP methods of the requests, in order. */
  readonly sent: readonly string[]
  readonly waitsMs: readonly number[]
}

/** Runs a procedure with the given replies; the last reply is used for all further requests. */
export function runWithReplies<Value> (procedure: Generator<PlatformEffect, Value, unknown>, replies: readonly PlatformReply[]): ProcedureRun<Value> {
  const sent: string[] = []
  const waitsMs: number[] = []
  let step = procedure.next()
  while (step.done !== true) {
    const effect = step.value
    if (effect.kind === PlatformEffectKind.Wait) {
      waitsMs.push(effect.durationMs)
      step = procedure.next()
      continue
    }
    const reply = replies[Math.min(sent.length, replies.length - 1)]
    sent.push(effect.request.method)
    step = procedure.next(reply)
  }
  return { value: step.value, sent, waitsMs }
}

/** A TCP proxy to a local port whose open connections can fall silent: they stay open, and pass nothing on. */
export class SilentProxy {
  private readonly sockets = new Set<Socket>()
  private readonly silent = new Set<Socket>()
  private readonly server: Server

  constructor (private readonly targetPort: number) {
    this.server = createServer((socket) => { this.join(socket) })
  }

  async start (): Promise<void> {
    await new Promise<void>((resolve) => { this.server.listen(0, '127.0.0.1', resolve) })
  }

  get url (): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  silenceConnections (): void {
    for (const socket of this.sockets) this.silent.add(socket)
  }

  stop (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private join (caller: Socket): void {
    const target = connect(this.targetPort, '127.0.0.1')
    for (const [from, to] of [[caller, target], [target, caller]] as const) {
      this.sockets.add(from)
      from.on('data', (bytes: Buffer) => { if (!this.silent.has(from)) to.write(bytes) })
      from.on('error', () => {})
      from.on('close', () => {
        this.sockets.delete(from)
        to.destroy()
      })
    }
  }
}
