import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import type { Teardown } from 'dotterelspur'
import { mergeTeardowns } from 'dotterelspur'
import { CallKind, EventPlan, PlatformFaultKind } from './PlatformFaults.js'
import type { Revision } from './ObjectTable.js'
import { cutConnection } from './PlatformContext.js'
import type { PlatformContext } from './PlatformContext.js'

export const WATCH_PATH = '/v1/watch'

const TOO_MANY_CALLS = 429

/** Kinds of lines of a watch. */
export enum WatchLineKind {
  Event = 'event',
  /** Sent without changes; `prefixVersion` is the highest version of a change under the prefix. */
  Heartbeat = 'heartbeat',
  /** The history after the requested version has been discarded; the client must list again. */
  Reset = 'reset'
}

interface WatchQuery {
  readonly prefix?: string
  readonly after?: string
}

/** Route of a watch: newline-delimited JSON until either side ends it. */
export function registerWatchRoute (server: FastifyInstance, context: PlatformContext): void {
  server.get<{ Querystring: WatchQuery }>(WATCH_PATH, async (request, reply) => {
    const retryAfterMs = context.meter.admit(CallKind.Watch)
    if (retryAfterMs > 0) return reply.code(TOO_MANY_CALLS).send({ retryAfterMs })
    if (context.faults.has(PlatformFaultKind.Down)) {
      cutConnection(request, reply)
      return reply
    }
    reply.hijack()
    openWatch(context, request, reply, request.query.prefix ?? '', Number(request.query.after ?? 0))
    return reply
  })
}

function openWatch (context: PlatformContext, request: FastifyRequest, reply: FastifyReply, prefix: string, afterVersion: number): void {
  const stream = new WatchStream(context, request, reply, prefix)
  stream.start(afterVersion)
}

/** An open watch. */
class WatchStream {
  private teardown: Teardown = () => {}
  private prefixVersion = 0

  constructor (
    private readonly context: PlatformContext,
    private readonly request: FastifyRequest,
    private readonly reply: FastifyReply,
    private readonly prefix: string
  ) {}

  start (afterVersion: number): void {
    const { objects, faults, meter } = this.context
    this.reply.raw.writeHead(200, { 'content-type': 'application/x-ndjson' })
    meter.watchStarted()
    this.teardown = mergeTeardowns(
      () => { meter.watchEnded() },
      objects.registerListener((revision) => { this.changed(revision) }),
      faults.registerListener(() => { if (faults.has(PlatformFaultKind.Down)) this.close() }),
      this.registerHeartbeat()
    )
    this.request.raw.socket.once('close', () => { this.teardown() })
    const missed = objects.changesAfter(this.prefix, afterVersion)
    this.prefixVersion = missed?.[0] === undefined ? objects.prefixVersion(this.prefix) : 0
    if (missed === undefined) this.write({ kind: WatchLineKind.Reset })
    else missed.forEach((revision) => { this.changed(revision) })
    this.heartbeat()
  }

  private registerHeartbeat (): Teardown {
    let cancel: Teardown = () => {}
    const beat = (): void => {
      this.heartbeat()
      cancel = this.context.clock.registerTimer(this.context.heartbeatIntervalMs, beat)
    }
    cancel = this.context.clock.registerTimer(this.context.heartbeatIntervalMs, beat)
    return () => { cancel() }
  }

  private heartbeat (): void {
    this.write({ kind: WatchLineKind.Heartbeat, version: this.context.objects.version, prefixVersion: this.prefixVersion })
  }

  private changed (revision: Revision): void {
    if (!revision.key.startsWith(this.prefix)) return
    const previousVersion = this.prefixVersion
    this.prefixVersion = revision.version
    const handlers: Readonly<Record<EventPlan, () => void>> = {
      [EventPlan.Send]: () => { this.event(revision, previousVersion) },
      [EventPlan.Skip]: () => {},
      [EventPlan.Repeat]: () => { this.event(revision, previousVersion); this.event(revision, previousVersion) },
      [EventPlan.GoBack]: () => { this.event(revision, previousVersion); this.event(this.context.objects.earlierRevision(revision.key) ?? revision, 0) },
      [EventPlan.Close]: () => { this.close() }
    }
    handlers[this.context.faults.planEvent()]()
  }

  private event (object: Revision, previousVersion: number): void {
    this.write({ kind: WatchLineKind.Event, object, previousVersion })
  }

  private write (line: object): void {
    if (this.context.faults.isCutOff(this.request.ip) || this.reply.raw.destroyed) return
    this.reply.raw.write(`${JSON.stringify(line)}\n`)
  }

  private close (): void {
    this.teardown()
    this.request.raw.socket.destroy()
  }
}
