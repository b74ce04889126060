import type { FastifyReply, FastifyRequest } from 'fastify'
import { OutcomeReason, notRun, type Outcome, type RequestId, type TeamSettings } from 'dotterelspur'
import { readBearerToken } from 'dotterelspur-settings'
import type { NodeGate } from '../process/NodeGate.js'
import type { TeamTable } from '../process/TeamTable.js'
import { HTTP_STATUS, errorBody, errorHeaders } from '../request/errorBody.js'

/** Settings reach a node that has just started within a few exchanges with a peer. */
const SETTINGS_RETRY_MS = 500

const teamOfRequest = new WeakMap<FastifyRequest, TeamSettings>()

/**
 * Lets in callers with a team's token; all others get the same answer.
 *
 * A node that has just started, or is cut off, may not know the team's settings: it would tell a caller with a
 * good token that the token is bad, and callers don't repeat that. It says instead that it can't know, and where to go.
 */
export function authenticate (teams: TeamTable, gate: NodeGate, request: FastifyRequest, reply: FastifyReply, done: () => void): void {
  const token = readBearerToken(request.headers.authorization)
  const team = token === undefined ? undefined : teams.findByToken(token)
  if (team === undefined && token !== undefined && (teams.all().length === 0 || gate.isIsolated())) {
    const outcome = notRun(OutcomeReason.Isolated, 'this node does not know the teams\' settings now; use another entry', SETTINGS_RETRY_MS)
    sendOutcome(reply, outcome, null, true, { entries: gate.otherEntries() })
    return
  }
  if (team === undefined) {
    sendOutcome(reply, notRun(OutcomeReason.Unauthorized, 'a team\'s bearer token is needed', null), null, true)
    return
  }
  teamOfRequest.set(request, team)
  done()
}

export function teamOf (request: FastifyRequest): TeamSettings {
  return teamOfRequest.get(request)!
}

export interface SendOptions {
  /** Addresses to use in place of this node. */
  readonly entries?: readonly string[]
  readonly status?: number
}

/** Answers with an outcome that is not an answer. `repeatable`: the caller may safely send the same again. */
export function sendOutcome (reply: FastifyReply, outcome: Outcome, requestId: RequestId | null, retryable: boolean, options: SendOptions = {}): FastifyReply {
  return reply
    .code(options.status ?? HTTP_STATUS[outcome.reason])
    .headers(errorHeaders(outcome, retryable))
    .send(errorBody(outcome, requestId, options.entries))
}
