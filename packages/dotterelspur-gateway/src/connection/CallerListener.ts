import { randomUUID } from 'node:crypto'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { FastifyInstance } from 'fastify'
import {
  AccessKind, BodyErrorKind, pick, type Access, type CallerLimits, type Clock, type HeldBody, type Random, type RequestContent, type Route, type RouteTable, type ServiceId
} from 'dotterelspur'
import { afterSocketsRead, guardedConnection, type ListenerGuard } from 'dotterelspur-listener'
import { AdmissionKind, type PoisonAdmission } from 'dotterelspur-poison'
import type { Dispatch } from '../process/Dispatch.js'
import { LogKind, type DecisionLog, type LogFields } from '../process/DecisionLog.js'
import type { StoreView } from '../process/FollowedStore.js'
import type { InitialSync } from '../process/InitialSync.js'
import type { GatewayMetrics } from '../process/GatewayMetrics.js'
import type { ListenAddress } from '../process/GatewaySettings.js'
import type { WireFormat } from '../process/GatewayPorts.js'
import type { ManifestFollower } from '../process/ManifestFollower.js'
import type { PoisonTracker } from '../process/PoisonTracker.js'
import { RequestWaits } from '../process/RequestWaits.js'
import { StopAdmission, type StopCounts } from '../process/StopAdmission.js'
import { STOPPING_RETRY_MS, type StopPlan } from '../process/StopPlan.js'
import type { AdmittedRequest, RequestReport } from '../request/AdmittedRequest.js'
import { CallerResponse, GatewayErrorKind } from '../request/CallerResponse.js'
import { cutFields } from '../request/cutFields.js'
import { endedFields } from '../request/endedFields.js'
import { GatewayRequest } from '../request/GatewayRequest.js'
import { CallerBodies } from './CallerBodies.js'
import { CallerConnections } from './CallerConnections.js'
import { createCallerApp } from './createCallerApp.js'
import { IDLE_SLACK_MS, INITIAL_LIMITS } from './callerLimits.js'
import { registerCallerClose } from './registerCallerClose.js'
import { hostOf, pathOf } from './requestTarget.js'

/** Retry-After of requests that arrive before this node has read a manifest and the quarantine. */
const NOT_READ_RETRY_MS = 500
/**
 * Retry-After of a suspect request that is deferred while the same request runs elsewhere: by then that run has either crashed its
 * endpoint or returned a response, which shows whether the request is a poison request.
 */
const SUSPECT_RETRY_MS = 1_500
/** Retry-After of requests whose route names no service: a change of the manifest is in force within seconds. */
const NO_SERVICE_RETRY_MS = 1_000

export interface CallerListenerParts {
  readonly clock: Clock
  readonly random: Random
  readonly log: DecisionLog
  readonly metrics: GatewayMetrics
  readonly wire: WireFormat
  readonly manifest: ManifestFollower
  /** How old the node's view of the manifest is, and by whom. */
  readonly manifestView: () => StoreView
  readonly initialSync: InitialSync
  readonly dispatch: Dispatch
  readonly poison: PoisonTracker
  readonly guard: ListenerGuard
}

/** A listening port that was opened before the program had finished loading. */
export interface OpenedPort {
  /** Transfers the listening socket and all accepted connections to `server`. */
  handOver (server: Server): void
}

/** The HTTP server for callers: authenticates and routes each request, and runs it until exactly one response has been sent. */
export class CallerListener {
  private readonly app: FastifyInstance
  readonly connections: CallerConnections
  /** The bodies of the requests under way. */
  readonly bodies: CallerBodies
  private readonly waits: RequestWaits
  private readonly stopAdmission: StopAdmission
  private isListening = true
  /** Requests that have not been sent on. */
  private readonly pending = new Set<CallerResponse>()
  private readonly dispatched = new Map<GatewayRequest, CallerResponse>()
  /** Requests whose response has not been sent completely. */
  private readonly running = new Set<CallerResponse>()
  /** Those that the end of the stop has ended. */
  private readonly ended = new Set<CallerResponse>()

  constructor (private readonly parts: CallerListenerParts) {
    this.bodies = new CallerBodies(parts)
    this.waits = new RequestWaits(parts.clock)
    this.stopAdmission = new StopAdmission(parts.clock, (route) => this.longestRunningMs(route))
    this.app = createCallerApp((request, response) => { this.accept(request, response) })
    this.connections = new CallerConnections(this.app.server, parts.clock)
    parts.guard.register(this.app.server, (connection) => { this.connections.add(connection) })
    parts.manifest.registerListener(({ manifest }) => {
      this.applyLimits(manifest.limits)
      this.stopAdmission.noteRoutes(manifest.routes)
    })
    this.applyLimits(INITIAL_LIMITS)
  }

  /** Number of requests whose response has not been sent completely. */
  get runningRequests (): number {
    return this.running.size
  }

  /** Number of requests that the end of the stop has cut: with an error, or in the middle of a response that is not sent yet. */
  get cutRequests (): number {
    return new Set([...this.ended, ...this.running]).size
  }

  /** Number of requests that wait for an endpoint. */
  get waitingRequests (): number {
    return this.waits.size
  }

  get stopCounts (): StopCounts {
    return this.stopAdmission.counts
  }

  async listen ({ host, port }: ListenAddress, opened: OpenedPort | null): Promise<void> {
    if (opened === null) {
      await this.app.listen({ host, port, backlog: 1_024 })
    } else {
      await this.app.ready()
      opened.handOver(this.app.server)
    }
  }

  /** From now on each response carries `Connection: close`; see `drain`. */
  announceStop (): void {
    this.stopAdmission.announce()
  }

  /**
   * From now on each response carries `Connection: close`, so that callers reconnect to other nodes, requests that wait are rejected,
   * and new ones are taken where the plan admits them. Idle connections stay open as long as the listener: a caller may be sending a
   * request on one, and would see it end without a response.
   */
  drain (plan: StopPlan): void {
    this.stopAdmission.begin(plan)
    this.waits.stop()
  }

  /** Accepts no new connections, and closes those that are idle. Requests that have arrived are completed. */
  stopListening (): void {
    this.isListening = false
    afterSocketsRead(() => { this.app.server.close() })
  }

  /** Refuses the requests that have not been sent on, and ends the others whose response has not begun, so that all their callers learn it. */
  endUnanswered (): void {
    for (const response of this.pending) {
      if (response.sendError(GatewayErrorKind.NotRun, STOPPING_RETRY_MS)) this.stopAdmission.noteRefused()
    }
    for (const [run, response] of this.dispatched) {
      this.ended.add(response)
      this.parts.log.write(LogKind.RequestCut, cutFields(run.progress, this.stopAdmission, this.parts.clock.nowMs()))
      run.onNodeEnd()
    }
  }

  async close (): Promise<void> {
    this.waits.stop()
    this.app.server.closeAllConnections()
    await this.app.close()
  }

  private applyLimits (limits: CallerLimits): void {
    this.connections.applyIdleTimeout(limits.idleTimeoutMs + IDLE_SLACK_MS)
    this.app.server.headersTimeout = limits.headerTimeoutMs
    this.parts.guard.stallMs = limits.idleTimeoutMs + IDLE_SLACK_MS
  }

  private accept (request: IncomingMessage, response: ServerResponse): void {
    const callerResponse = new CallerResponse(request, response, () => this.stopAdmission.isStopping)
    this.running.add(callerResponse)
    this.pending.add(callerResponse)
    const sent = this.connections.untilSent(guardedConnection(request.socket), response)
    this.run(request, response, callerResponse)
      .catch((error: unknown) => {
        this.parts.log.write(LogKind.Unexpected, { where: 'request', error: error instanceof Error ? error.stack : String(error) })
        callerResponse.fail()
      })
      .then(async () => { await sent })
      .finally(() => {
        this.running.delete(callerResponse)
        this.pending.delete(callerResponse)
        if (!this.isListening) this.connections.closeLater(guardedConnection(request.socket))
      })
      .catch(() => { /* Errors of `run` have been logged above. */ })
  }

  private longestRunningMs (route: string): number {
    const nowMs = this.parts.clock.nowMs()
    return Math.max(0, ...[...this.dispatched.keys()].map(({ progress: { admitted } }) => admitted.route.name === route ? nowMs - admitted.arrivedAtMs : 0))
  }

  private async run (request: IncomingMessage, response: ServerResponse, callerResponse: CallerResponse): Promise<void> {
    const held = this.bodies.open(request)
    await this.runWithBody(request, response, callerResponse, held).finally(() => { held.release() })
  }

  private async runWithBody (request: IncomingMessage, response: ServerResponse, callerResponse: CallerResponse, held: HeldBody): Promise<void> {
    const arrivedAtMs = this.parts.clock.nowMs()
    const body = await this.bodies.read(request, held)
    if (!body.ok) return this.refuseBody(request, callerResponse, body.error)
    const head = this.parts.wire.readCallerHeaders(request.headers)
    await this.parts.initialSync.wait()
    // Uses the newest manifest, which may have been read while the body was being received.
    const newest = this.parts.manifest.current
    if (newest === null) return this.sendError(request, callerResponse, GatewayErrorKind.NoManifest, this.stopAdmission.retryAfterMs(NOT_READ_RETRY_MS))
    if (!this.parts.initialSync.knowsQuarantine) return this.sendError(request, callerResponse, GatewayErrorKind.NotRun, this.stopAdmission.retryAfterMs(NOT_READ_RETRY_MS))
    const access = newest.access({ host: hostOf(request), path: pathOf(request), key: head.key })
    if (access.kind !== AccessKind.Allowed) return this.denyAccess(request, callerResponse, access, newest)
    const { route, workspace, priority } = access
    const service = this.pickService(route)
    if (service === null) return this.sendError(request, callerResponse, GatewayErrorKind.NotRun, NO_SERVICE_RETRY_MS, { route: route.name, manifestVersion: newest.version })
    const content: RequestContent = { service, method: request.method!, target: request.url!, caller: workspace, model: head.model, body: body.value, promptParts: head.promptParts }
    const admission = await this.parts.poison.guard.admit(content)
    if (callerResponse.isClosed) return admission.release()
    this.pending.delete(callerResponse)
    if (admission.kind !== AdmissionKind.Admitted) return this.refusePoison(request, callerResponse, admission)
    // Decided last: a stop may have begun while the request waited.
    const stopDecision = this.stopAdmission.admit(route, head.deadlineMs)
    if (stopDecision === null) {
      admission.release()
      return this.sendError(request, callerResponse, GatewayErrorKind.NotRun, STOPPING_RETRY_MS)
    }
    const spentBeforeMs = this.parts.dispatch.noteRequest(service, route, head, { rank: priority, workspace })
    const requestId = head.requestId ?? randomUUID()
    await this.dispatch(response, callerResponse, { request, content, head, requestId, route, service, workspace, priority, arrivedAtMs, spentBeforeMs, stopDecision }).finally(admission.release)
  }

  private refuseBody (request: IncomingMessage, callerResponse: CallerResponse, error: BodyErrorKind): void {
    if (error === BodyErrorKind.TooLarge) this.sendError(request, callerResponse, GatewayErrorKind.BodyTooLarge, null)
    if (error === BodyErrorKind.NoRoom) this.sendError(request, callerResponse, GatewayErrorKind.NotRun, this.stopAdmission.retryAfterMs(this.bodies.retryAfterMs), { refusal: error, bodyBytes: this.bodies.sizeBytes })
  }

  /** A quarantined request gets no Retry-After: a retry would be refused as well. */
  private refusePoison (request: IncomingMessage, callerResponse: CallerResponse, { kind, fingerprint }: PoisonAdmission): void {
    if (kind === AdmissionKind.Quarantined) this.sendError(request, callerResponse, GatewayErrorKind.Quarantined, null, { fingerprint })
    else this.sendError(request, callerResponse, GatewayErrorKind.NotRun, SUSPECT_RETRY_MS, { fingerprint })
  }

  private async dispatch (response: ServerResponse, callerResponse: CallerResponse, admitted: AdmittedRequest): Promise<void> {
    const run = new GatewayRequest({ ...this.parts, waits: this.waits, polls: this.parts.dispatch.links.polls, stopAdmission: this.stopAdmission }, admitted, callerResponse)
    const stop = registerCallerClose(admitted.request, () => {
      if (!response.writableFinished) run.onCallerDisconnect()
    })
    this.dispatched.set(run, callerResponse)
    this.record(admitted, await run.run().finally(() => {
      stop()
      this.dispatched.delete(run)
    }))
  }

  /** Null where the route has no service, as in a manifest that gives each of its shares the weight 0. */
  private pickService ({ shares }: Route): ServiceId | null {
    const total = shares.reduce((sum, { weight }) => sum + weight, 0)
    let drawn = this.parts.random.next() * total
    const share = shares.find(({ weight }) => (drawn -= weight) < 0)
    return (share ?? pick(this.parts.random, shares))?.service ?? null
  }

  private denyAccess (request: IncomingMessage, callerResponse: CallerResponse, access: Access, table: RouteTable): void {
    const kind = access.kind === AccessKind.NoRoute ? GatewayErrorKind.NoRoute : GatewayErrorKind.Unauthorized
    this.sendError(request, callerResponse, kind, null, { manifestVersion: table.version, ...this.manifestFields() })
  }

  /** How old the view is by which the manifest in force is known to be the newest, and from which node; by this node's own call if none is named. */
  private manifestFields (): LogFields {
    const { ageMs, from } = this.parts.manifestView()
    return { manifestAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined, manifestFrom: from ?? undefined }
  }

  private sendError (request: IncomingMessage, callerResponse: CallerResponse, kind: GatewayErrorKind, retryAfterMs: number | null, fields: LogFields = {}): void {
    if (callerResponse.sendError(kind, retryAfterMs) && retryAfterMs !== null) this.stopAdmission.noteRefused()
    this.parts.metrics.countOwnAnswer(kind)
    this.parts.log.write(LogKind.RequestEnded, { request: this.parts.wire.readCallerHeaders(request.headers).requestId, answeredWith: kind, path: request.url, manifestVersion: null, retryAfterMs: retryAfterMs ?? undefined, ...fields })
  }

  private record (admitted: AdmittedRequest, report: RequestReport): void {
    const { clock, log, metrics, manifest } = this.parts
    const tookMs = clock.nowMs() - admitted.arrivedAtMs
    metrics.countRequest(admitted.route.kind, report, tookMs)
    if (report.targets.length > 0) this.stopAdmission.noteEnded(admitted.route, tookMs)
    metrics.countRank(admitted.priority, report)
    if (report.answeredWith !== null) this.parts.dispatch.noteRejection(admitted.route)
    if (report.retryAfterMs !== null) this.parts.dispatch.noteScheduledReturn(admitted, report.retryAfterMs)
    log.write(LogKind.RequestEnded, endedFields(admitted, report, tookMs, { manifestVersion: manifest.current?.version, ...this.manifestFields() }))
  }
}
