import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import { OpenKind, OutcomeReason, parseRequestId, unknownOutcome, type Outcome, type RequestId, type TeamId } from 'dotterelspur'
import type { EntryServices } from '../process/EntryServices.js'
import { RunEventKind } from '../request/RunRequest.js'
import { HTTP_STATUS } from '../request/errorBody.js'
import { sendOutcome, teamOf } from './callers.js'

export enum RequestStateKind {
  Running = 'running',
  Ended = 'ended'
}

/** Response body of GET /v1/requests/<id>. */
export interface RequestState {
  readonly requestId: RequestId
  readonly state: RequestStateKind
  /** Null while it runs. */
  readonly outcome: Outcome | null
}

/** How long a home on another node waits for a run to finish before it responds. At 0 it responds at once. */
const FOLLOW_WAIT_MS = 0

/** GET /v1/requests/<id>: the state and outcome of a request, for the team that sent it. The id may be the caller's own key. */
export function registerOutcomeRoutes (app: FastifyInstance, services: EntryServices): void {
  app.get<{ Params: { id: string } }>('/v1/requests/:id', (request, reply) => sendRequestState(services, request, reply))
}

async function sendRequestState (services: EntryServices, request: FastifyRequest<{ Params: { id: string } }>, reply: FastifyReply): Promise<FastifyReply> {
  const { team } = teamOf(request)
  const resolved = await services.keyed.resolve(team, request.params.id)
  if (resolved === undefined) return sendUnknownId(reply, null)
  if (typeof resolved !== 'string') return sendOutcome(reply, resolved, null, true)
  const { home } = parseRequestId(resolved)!
  return services.keyed.isLocalHome(home) ? sendLocalState(services, reply, team, resolved) : sendRemoteState(services, reply, team, resolved, home)
}

function sendLocalState (services: EntryServices, reply: FastifyReply, team: TeamId, requestId: RequestId): FastifyReply {
  const decision = services.homeRuns.lookup(requestId, team)
  if (decision === undefined) return sendUnknownId(reply, requestId)
  if (decision.kind === OpenKind.Ended) return send(reply, { requestId, state: RequestStateKind.Ended, outcome: decision.ended.outcome })
  if (decision.kind === OpenKind.InProgress) return send(reply, { requestId, state: RequestStateKind.Running, outcome: null })
  return send(reply, { requestId, state: RequestStateKind.Ended, outcome: unknownOutcome(OutcomeReason.OutcomeForgotten, 'the id is older than the outcomes that its home remembers') })
}

async function sendRemoteState (services: EntryServices, reply: FastifyReply, team: TeamId, requestId: RequestId, home: string): Promise<FastifyReply> {
  for await (const batch of services.link.follow(home, { requestId, team, waitMs: FOLLOW_WAIT_MS })) {
    const finished = batch.find((event) => event.kind === RunEventKind.Finished)
    if (finished === undefined) continue
    const running = finished.outcome.reason === OutcomeReason.DuplicateInProgress
    return send(reply, { requestId, state: running ? RequestStateKind.Running : RequestStateKind.Ended, outcome: running ? null : finished.outcome })
  }
  return sendUnknownId(reply, requestId)
}

function send (reply: FastifyReply, state: RequestState): FastifyReply {
  return reply.send(state)
}

/** An unknown id is not the same as not-run: the request may be in transit, or the home that ran it may have terminated. */
function sendUnknownId (reply: FastifyReply, requestId: RequestId | null): FastifyReply {
  const outcome = unknownOutcome(OutcomeReason.OutcomeForgotten, 'no request with this id is known')
  return sendOutcome(reply, outcome, requestId, true, { status: HTTP_STATUS[OutcomeReason.ModelNotFound] })
}
