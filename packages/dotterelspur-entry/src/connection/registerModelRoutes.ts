import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import { OutcomeKind, OutcomeReason, RequestSafety, hashText, unknownOutcome, type Outcome, type RequestId, type Result, type TeamSettings } from 'dotterelspur'
import { fingerprintOf, modelNames, readChat, readCompletion, type CallHeaders, type ModelCall } from '../request/CallerRequest.js'
import { errorBody } from '../request/errorBody.js'
import { RunEventKind, RunKind, finishedWith, type FinishedEvent, type ModelRunRequest, type RunEvents } from '../request/RunRequest.js'
import type { EntryServices } from '../process/EntryServices.js'
import { CallerWriter } from './CallerWriter.js'
import { sendOutcome, teamOf } from './callers.js'
import { AnswerFormat, ModelInterface, errorEvent } from './ModelAnswer.js'

type BodyReader = (body: unknown, team: TeamSettings) => Result<ModelCall, Outcome>

const READERS: Readonly<Record<ModelInterface, BodyReader>> = {
  [ModelInterface.Chat]: readChat,
  [ModelInterface.Completion]: readCompletion
}

const MS_PER_SECOND = 1_000

interface ResponseContext {
  readonly services: EntryServices
  readonly reply: FastifyReply
  readonly call: ModelCall
  readonly requestId: RequestId
  readonly format: AnswerFormat
  readonly retryable: boolean
}

/** POST /v1/chat/completions, POST /v1/completions and GET /v1/models. */
export function registerModelRoutes (app: FastifyInstance, services: EntryServices): void {
  app.post('/v1/chat/completions', (request, reply) => answer(services, ModelInterface.Chat, request, reply))
  app.post('/v1/completions', (request, reply) => answer(services, ModelInterface.Completion, request, reply))
  app.get('/v1/models', (request) => {
    const team = teamOf(request)
    const data = team.models.flatMap(modelNames).map((id) => ({ id, object: 'model', created: 0, owned_by: team.team }))
    return { object: 'list', data }
  })
}

async function answer (services: EntryServices, kind: ModelInterface, request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply | undefined> {
  const team = teamOf(request)
  const headers = services.headers.read(request.headers)
  if (!headers.ok) return sendOutcome(reply, headers.error, null, true)
  const call = READERS[kind](request.body, team)
  if (!call.ok) return sendOutcome(reply, call.error, null, true)
  const run = toRun(services, team, call.value, headers.value)
  const started = await services.intake.start(run, headers.value, request.raw)
  if (!started.ok) return sendOutcome(reply, started.error.outcome, run.requestId, started.error.retryable, { entries: started.error.entries })
  const { requestId, events } = started.value
  const createdSeconds = Math.floor(services.context.clock.wallMs() / MS_PER_SECOND)
  const format = new AnswerFormat({ kind, requestId, modelName: call.value.modelName, createdSeconds })
  const retryable = !headers.value.nonIdempotent || headers.value.idempotencyKey !== null
  const context: ResponseContext = { services, reply, call: call.value, requestId, format, retryable }
  reply.header('x-request-id', requestId)
  return call.value.stream ? streamAnswer(context, events) : wholeAnswer(context, events)
}

function toRun (services: EntryServices, team: TeamSettings, call: ModelCall, headers: CallHeaders): ModelRunRequest {
  const requestId = services.intake.mintRequestId()
  return {
    kind: RunKind.Model,
    requestId,
    team: team.team,
    safety: headers.nonIdempotent ? RequestSafety.NonIdempotent : RequestSafety.Idempotent,
    priority: headers.priority ?? call.intent.defaultPriority,
    deadlineMs: headers.deadlineMs,
    idempotencyKey: headers.idempotencyKey,
    fingerprint: headers.nonIdempotent ? fingerprintOf(call.modelName, call.prompt, String(call.maxTokens), String(call.seed)) : '',
    submission: headers.submission,
    stale: services.intake.isStale(),
    ticket: null,
    model: call.intent.model,
    adapter: call.adapter,
    prompt: call.prompt,
    maxTokens: call.maxTokens,
    seed: call.seed ?? hashText(requestId),
    streamed: call.stream
  }
}

async function wholeAnswer (context: ResponseContext, events: RunEvents): Promise<FastifyReply | undefined> {
  const { reply, format } = context
  let text = ''
  let finished = missingFinishedEvent()
  const iterator = events[Symbol.asyncIterator]()
  reply.raw.once('close', () => { iterator.return?.(undefined) })
  for (let step = await iterator.next(); step.done !== true; step = await iterator.next()) {
    for (const event of step.value) {
      if (event.kind === RunEventKind.Text) text += event.text
      else if (event.kind === RunEventKind.Restart) text = ''
      else if (event.kind === RunEventKind.Finished) finished = event
    }
  }
  if (!isWhole(finished)) return refuse(context, finished)
  return reply.header('dotterelspur-outcome', OutcomeKind.Answered).send(format.whole(text, finished))
}

/** Streams an answer. The status line is sent with the first token, so that a refusal can have its own status. */
async function streamAnswer (context: ResponseContext, events: RunEvents): Promise<FastifyReply | undefined> {
  const { services, reply, format, call } = context
  const { clock, limits, observer } = services.context
  const writer = new CallerWriter(reply.raw, clock, limits.slowCallerMs, () => { observer.slowCallerDisconnected() })
  let open = false
  let finished = missingFinishedEvent()
  const iterator = events[Symbol.asyncIterator]()
  reply.raw.once('close', () => { iterator.return?.(undefined) })
  for (let step = await iterator.next(); step.done !== true; step = await iterator.next()) {
    let text = ''
    for (const event of step.value) {
      if (event.kind === RunEventKind.Text) text += format.chunk(event.text)
      else if (event.kind === RunEventKind.Finished) finished = event
    }
    if (text === '') continue
    if (!open) openStream(reply)
    open = true
    if (!await writer.write(text)) return undefined
  }
  if (!open && !isWhole(finished)) return refuse(context, finished)
  if (!open) openStream(reply)
  const last = isWhole(finished) ? format.ending(finished, call.includeUsage) : errorEvent(errorBody(finished.outcome, context.requestId))
  await writer.write(last)
  reply.raw.end()
  return undefined
}

function openStream (reply: FastifyReply): void {
  reply.hijack()
  reply.raw.writeHead(200, {
    ...(reply.getHeaders() as Record<string, string>),
    'content-type': 'text/event-stream; charset=utf-8',
    'cache-control': 'no-cache'
  })
}

function refuse (context: ResponseContext, finished: FinishedEvent): FastifyReply {
  const { services, reply, requestId, retryable } = context
  const entries = services.intake.entriesFor(finished.outcome)
  return sendOutcome(reply, finished.outcome, requestId, retryable, { entries })
}

function isWhole (finished: FinishedEvent): boolean {
  return finished.outcome.kind === OutcomeKind.Answered && !finished.withheld
}

/** Stands in for the Finished event if a run's events end without one. */
function missingFinishedEvent (): FinishedEvent {
  return finishedWith(unknownOutcome(OutcomeReason.StreamBroken, 'the run ended without an outcome'))
}
