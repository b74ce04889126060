import { randomUUID } from 'node:crypto'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import fastify, { type FastifyInstance } from 'fastify'
import {
  AccessKind, DispatchEndKind, pick, type Access, type CallerLimits, type Clock, type PlacementRefusal, type Random, type RequestContent, type Route, type RouteTable, type ServiceId
} from 'dotterelspur'
import { AdmissionKind, type PoisonAdmission } from 'dotterelspur-poison'
import type { Dispatch } from '../process/Dispatch.js'
import { LogKind, type DecisionLog, type LogFields } from '../process/DecisionLog.js'
import type { InitialSync } from '../process/InitialSync.js'
import type { GatewayMetrics } from '../process/GatewayMetrics.js'
import type { ListenAddress } from '../process/GatewaySettings.js'
import type { WireFormat } from '../process/GatewayPorts.js'
import type { ManifestFollower } from '../process/ManifestFollower.js'
import type { PoisonTracker } from '../process/PoisonTracker.js'
import { CallerAnswer, OwnAnswerKind } from '../request/CallerAnswer.js'
import { GatewayRequest, type AdmittedRequest, type RequestReport } from '../request/GatewayRequest.js'
import { BodyErrorKind, readBody } from '../request/readBody.js'

/** Until the manifest is known where it was waited for in vain. */
const NO_MANIFEST_RETRY_MS = 500
/** When a suspect may come back that runs elsewhere: by then one end more, or an answer, has shown what it is. */
const SUSPECT_RETRY_MS = 1_500
/** Kept beyond the operators' idle limit, so that a caller that keeps to it never meets a closing channel. */
const IDLE_SLACK_MS = 2_000
/** Before the first manifest there is nothing to keep to but this. */
const INITIAL_LIMITS: CallerLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }

export interface CallerListenerParts {
  readonly clock: Clock
  readonly random: Random
  readonly log: DecisionLog
  readonly metrics: GatewayMetrics
  readonly wire: WireFormat
  readonly manifest: ManifestFollower
  readonly firstKnowledge: InitialSync
  readonly dispatch: Dispatch
  readonly poison: PoisonTracker
}

/** A port that was opened before the program had loaded. */
export interface OpenedPort {
  /** `server` takes the port over, with all who have connected. */
  handOver (server: Server): void
}

/** Takes callers' requests: finds their route and key, and runs each to its one answer. */
export class CallerListener {
  private readonly app: FastifyInstance
  private draining = false
  private running = 0

  constructor (private readonly parts: CallerListenerParts) {
    this.app = createApp((request, response) => { this.take(request, response) })
    parts.manifest.registerListener((table) => { this.applyLimits(table.manifest.limits) })
    this.applyLimits(INITIAL_LIMITS)
  }

  /** Requests that have no whole answer yet. */
  get runningRequests (): number {
    return this.running
  }

  async listen ({ host, port }: ListenAddress, opened: OpenedPort | null): Promise<void> {
    if (opened === null) {
      await this.app.listen({ host, port, backlog: 1_024 })
    } else {
      await this.app.ready()
      opened.handOver(this.app.server)
    }
  }

  /** From now on each answer asks its caller to connect elsewhere; idle channels are closed. */
  drain (): void {
    this.draining = true
    this.closeIdle()
  }

  /** Takes no new channels. Those that are open finish what they have. */
  stopListening (): void {
    this.app.server.close()
    this.closeIdle()
  }

  async close (): Promise<void> {
    this.app.server.closeAllConnections()
    await this.app.close()
  }

  private closeIdle (): void {
    this.app.server.closeIdleConnections()
  }

  private applyLimits (limits: CallerLimits): void {
    const server: Server = this.app.server
    server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_SLACK_MS
    server.headersTimeout = limits.headerTimeoutMs
  }

  private take (request: IncomingMessage, response: ServerResponse): void {
    this.running += 1
    const answer = new CallerAnswer(request, response, () => this.draining)
    this.run(request, response, answer)
      .catch((error: unknown) => {
        this.parts.log.write(LogKind.Unexpected, { where: 'request', error: error instanceof Error ? error.stack : String(error) })
        answer.cutOff()
      })
      .finally(() => {
        this.running -= 1
        if (this.draining) this.closeIdle()
      })
      .catch(() => { /* `run` has reported what it met. */ })
  }

  private async run (request: IncomingMessage, response: ServerResponse, answer: CallerAnswer): Promise<void> {
    const arrivedAtMs = this.parts.clock.nowMs()
    const table = this.parts.manifest.current
    const body = await readBody(request, table?.manifest.limits.maxBodyBytes ?? INITIAL_LIMITS.maxBodyBytes)
    if (!body.ok) {
      if (body.error === BodyErrorKind.TooLarge) this.refuse(request, answer, OwnAnswerKind.BodyTooLarge, null)
      return
    }
    const head = this.parts.wire.readCallerHeaders(request.headers)
    await this.parts.firstKnowledge.wait()
    // The newest manifest counts, also when it came while the body was read.
    const newest = this.parts.manifest.current
    if (newest === null) return this.refuse(request, answer, OwnAnswerKind.NoManifest, NO_MANIFEST_RETRY_MS)
    const access = newest.access({ host: hostOf(request), path: pathOf(request), key: head.key })
    if (access.kind !== AccessKind.Allowed) return this.deny(request, answer, access, newest)
    const service = this.pickService(access.route)
    const { route, workspace, priority } = access
    const content: RequestContent = { service, method: request.method!, target: request.url!, caller: workspace, model: head.model, body: body.value }
    const admission = await this.parts.poison.guard.admit(content)
    if (answer.isOver) return admission.release()
    if (admission.kind !== AdmissionKind.Admitted) return this.holdBack(request, answer, admission)
    const spentBeforeMs = this.parts.dispatch.noteRequest(service, route, head)
    const requestId = head.requestId ?? randomUUID()
    await this.dispatch(response, answer, { request, content, head, requestId, route, service, workspace, priority, arrivedAtMs, spentBeforeMs }).finally(admission.release)
  }

  /** A request that ends endpoints gets no time to come back: it would be refused again. */
  private holdBack (request: IncomingMessage, answer: CallerAnswer, { kind, fingerprint }: PoisonAdmission): void {
    if (kind === AdmissionKind.Quarantined) this.refuse(request, answer, OwnAnswerKind.Quarantined, null, { fingerprint })
    else this.refuse(request, answer, OwnAnswerKind.NotRun, SUSPECT_RETRY_MS, { fingerprint })
  }

  private async dispatch (response: ServerResponse, answer: CallerAnswer, admitted: AdmittedRequest): Promise<void> {
    const run = new GatewayRequest(this.parts, admitted, answer)
    response.on('close', () => {
      if (!response.writableFinished) run.callerLeft()
    })
    this.report(admitted, await run.run())
  }

  private pickService ({ shares }: Route): ServiceId {
    const total = shares.reduce((sum, { weight }) => sum + weight, 0)
    let drawn = this.parts.random.next() * total
    const share = shares.find(({ weight }) => (drawn -= weight) < 0)
    return (share ?? pick(this.parts.random, shares)!).service
  }

  private deny (request: IncomingMessage, answer: CallerAnswer, access: Access, table: RouteTable): void {
    const kind = access.kind === AccessKind.NoRoute ? OwnAnswerKind.NoRoute : OwnAnswerKind.Unauthorized
    this.refuse(request, answer, kind, null, { manifestVersion: table.version })
  }

  private refuse (request: IncomingMessage, answer: CallerAnswer, kind: OwnAnswerKind, retryAfterMs: number | null, fields: LogFields = {}): void {
    answer.refuse(kind, retryAfterMs)
    this.parts.metrics.countOwnAnswer(kind)
    this.parts.log.write(LogKind.RequestEnded, { request: this.parts.wire.readCallerHeaders(request.headers).requestId, answeredWith: kind, path: request.url, manifestVersion: null, ...fields })
  }

  private report (admitted: AdmittedRequest, report: RequestReport): void {
    const { clock, log, metrics, manifest } = this.parts
    const tookMs = clock.nowMs() - admitted.arrivedAtMs
    metrics.countRequest(admitted.route.kind, report, tookMs)
    if (report.answeredWith !== null) this.parts.dispatch.noteRejection(admitted.route)
    log.write(LogKind.RequestEnded, {
      request: admitted.requestId,
      route: admitted.route.name,
      workspace: admitted.workspace,
      model: admitted.head.model ?? undefined,
      end: report.end.kind,
      lastExchange: report.end.lastExchange ?? undefined,
      answeredWith: report.answeredWith ?? undefined,
      refusal: report.end.refusal?.reason,
      ...roundedBasis(report.end.refusal),
      inNeed: inNeedOf(report.end.refusal),
      targets: report.targets,
      firstByteMs: report.firstByteMs === null ? undefined : Math.round(report.firstByteMs),
      tookMs: Math.round(tookMs),
      deadlineMs: admitted.head.deadlineMs,
      manifestVersion: manifest.current?.version,
      late: report.end.kind === DispatchEndKind.Delivered && report.firstByteMs !== null && report.firstByteMs > admitted.route.targetLatencyMs ? true : undefined
    })
  }
}

/** Endpoints whose need decided a refusal, for its log line; undefined where none did. */
function inNeedOf (refusal: PlacementRefusal | null): readonly string[] | undefined {
  return refusal === null || refusal.inNeed.length === 0 ? undefined : refusal.inNeed
}

/** What a refusal was decided by, for its log line. */
function roundedBasis (refusal: PlacementRefusal | null): Readonly<Record<string, number | null>> {
  if (refusal === null || refusal.basis === null) return {}
  const { expectedMs, limitMs, loadAgeMs } = refusal.basis
  return { expectedMs: Math.round(expectedMs), limitMs: Math.round(limitMs), loadAgeMs: loadAgeMs === null ? null : Math.round(loadAgeMs) }
}

/** Every method and path comes to the one handler, as it was sent: the library's own routing and body parsing stay out of the way. */
function createApp (take: (request: IncomingMessage, response: ServerResponse) => void): FastifyInstance {
  const app = fastify({
    logger: false,
    rewriteUrl: () => '/',
    http: { maxHeaderSize: INITIAL_LIMITS.maxHeaderBytes },
    requestTimeout: 0,
    // Bodies are neither checked nor written by the library: its compilers for that take 14 ms of each start.
    schemaController: { compilersFactory: { buildValidator: noCompiler, buildSerializer: noCompiler } },
    keepAliveTimeout: INITIAL_LIMITS.idleTimeoutMs + IDLE_SLACK_MS,
    forceCloseConnections: false
  })
  app.removeAllContentTypeParsers()
  app.addContentTypeParser('*', (_request, _payload, done) => { done(null) })
  // Not calling back ends the library's part: it runs no handler, and leaves the answer to `take`.
  app.addHook('onRequest', (request, reply) => {
    reply.hijack()
    request.raw.url = request.originalUrl
    take(request.raw, reply.raw)
  })
  app.route({ method: ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'], url: '/', handler: async () => { /* The hook has taken the request. */ } })
  return app
}

function noCompiler (): never {
  throw new Error('invariant: no route has a schema')
}

/** Host names are compared without port and case. */
function hostOf (request: IncomingMessage): string {
  return (request.headers.host ?? '').replace(/:\d+$/, '').toLowerCase()
}

function pathOf (request: IncomingMessage): string {
  const url = request.url ?? '/'
  const query = url.indexOf('?')
  return query === -1 ? url : url.slice(0, query)
}
