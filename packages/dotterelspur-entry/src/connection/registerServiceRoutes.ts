import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import { OutcomeKind, OutcomeReason, PriorityClass, RequestSafety, notRun, unknownOutcome, type ServiceIntent, type ServiceResponse, type TeamSettings } from 'dotterelspur'
import { fingerprintOf, serviceSafety, type CallHeaders } from '../request/CallerRequest.js'
import { RunEventKind, RunKind, finishedWith, type RunEvents, type ServiceRunRequest } from '../request/RunRequest.js'
import type { EntryServices } from '../process/EntryServices.js'
import { sendOutcome, teamOf } from './callers.js'
import { registerRawParser, type BodyLimits } from './registerBodyParsers.js'

const METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE'] as const
const EMPTY_BODY = new Uint8Array(0)

/** ANY /services/<service>/…: forwards calls to plain services. Bodies are buffered, not streamed. */
export function registerServiceRoutes (app: FastifyInstance, services: EntryServices, bodies: BodyLimits): void {
  app.register(async (scope) => {
    registerRawParser(scope, bodies)
    scope.route<{ Params: { service: string, '*': string } }>({
      method: [...METHODS],
      url: '/services/:service/*',
      handler: (request, reply) => call(services, request, reply, request.params.service)
    })
  })
}

async function call (services: EntryServices, request: FastifyRequest, reply: FastifyReply, name: string): Promise<FastifyReply | undefined> {
  const team = teamOf(request)
  const headers = services.headers.read(request.headers)
  if (!headers.ok) return sendOutcome(reply, headers.error, null, true)
  const intent = team.services.find((entry) => entry.service === name)
  if (intent === undefined) return sendOutcome(reply, notRun(OutcomeReason.ServiceNotFound, `team ${team.team} has no service ${name}`, null), null, true)
  const run = toRun(services, team, intent, headers.value, request)
  const started = await services.intake.start(run, headers.value, request.raw)
  if (!started.ok) return sendOutcome(reply, started.error.outcome, run.requestId, started.error.retryable, { entries: started.error.entries })
  const { requestId, events } = started.value
  reply.header('x-request-id', requestId)
  const { response, finished } = await collect(reply, events)
  const retryable = run.safety === RequestSafety.Idempotent || headers.value.idempotencyKey !== null
  if (response === null) return sendOutcome(reply, finished.outcome, requestId, retryable, { entries: services.intake.entriesFor(finished.outcome) })
  if (response.contentType !== null) reply.header('content-type', response.contentType)
  return reply.code(response.status).header('dotterelspur-outcome', OutcomeKind.Answered).send(Buffer.from(response.body))
}

function toRun (services: EntryServices, team: TeamSettings, intent: ServiceIntent, headers: CallHeaders, request: FastifyRequest): ServiceRunRequest {
  const path = request.url.slice(`/services/${intent.service}`.length)
  const body = Buffer.isBuffer(request.body) ? new Uint8Array(request.body) : EMPTY_BODY
  const safety = headers.nonIdempotent ? RequestSafety.NonIdempotent : serviceSafety(intent, request.method, path)
  return {
    kind: RunKind.Service,
    requestId: services.intake.mintRequestId(),
    team: team.team,
    safety,
    priority: headers.priority ?? PriorityClass.Interactive,
    deadlineMs: Math.min(headers.deadlineMs, intent.timeoutMs),
    idempotencyKey: headers.idempotencyKey,
    fingerprint: safety === RequestSafety.NonIdempotent ? fingerprintOf(request.method, path, body) : '',
    submission: headers.submission,
    stale: services.intake.isStale(),
    ticket: null,
    service: intent.service,
    method: request.method,
    path,
    contentType: request.headers['content-type'] ?? null,
    body,
    timeoutMs: intent.timeoutMs
  }
}

async function collect (reply: FastifyReply, events: RunEvents) {
  let response: ServiceResponse | null = null
  let finished = finishedWith(unknownOutcome(OutcomeReason.StreamBroken, 'the run ended without an outcome'))
  const iterator = events[Symbol.asyncIterator]()
  reply.raw.once('close', () => { iterator.return?.(undefined) })
  for (let step = await iterator.next(); step.done !== true; step = await iterator.next()) {
    for (const event of step.value) {
      if (event.kind === RunEventKind.Response) response = event.response
      else if (event.kind === RunEventKind.Finished) finished = event
    }
  }
  return { response: finished.outcome.kind === OutcomeKind.Answered ? response : null, finished }
}
