import type { FastifyReply, FastifyRequest } from 'fastify'
import { OutcomeReason, notRun, type Outcome, type RequestId, type TeamSettings } from 'dotterelspur'
import { readBearerToken } from 'dotterelspur-settings'
import type { NodeGate } from '../process/NodeGate.js'
import type { TeamTable } from '../process/TeamTable.js'
import { HTTP_STATUS, errorBody, errorHeaders } from '../request/errorBody.js'

/** A node that has just started receives the settings within a few exchanges with a peer. */
const SETTINGS_RETRY_MS = 500

const teamOfRequest = new WeakMap<FastifyRequest, TeamSettings>()

/**
 * Authenticates callers by their team's token. All others get the same response.
 *
 * A node that has just started or is isolated may not have the team's settings. If it rejected a valid token as unauthorized,
 * the caller would not retry. So it refuses with `isolated` and the addresses of other nodes instead.
 */
export function authenticate (teams: TeamTable, gate: NodeGate, request: FastifyRequest, reply: FastifyReply, done: () => void): void {
  const token = readBearerToken(request.headers.authorization)
  const team = token === undefined ? undefined : teams.findByToken(token)
  if (team === undefined && token !== undefined && (teams.all().length === 0 || gate.isIsolated())) {
    const outcome = notRun(OutcomeReason.Isolated, 'this node does not have current team settings; use another entry', SETTINGS_RETRY_MS)
    sendOutcome(reply, outcome, null, true, { entries: gate.otherEntries() })
    return
  }
  if (team === undefined) {
    sendOutcome(reply, notRun(OutcomeReason.Unauthorized, 'a bearer token of a team is required', null), null, true)
    return
  }
  teamOfRequest.set(request, team)
  done()
}

export function teamOf (request: FastifyRequest): TeamSettings {
  return teamOfRequest.get(request)!
}

export interface SendOptions {
  /** Addresses to use instead of this node's. */
  readonly entries?: readonly string[]
  readonly status?: number
}

/** Sends an error response for an outcome without an answer. `retryable`: the caller may safely send the same request again. */
export function sendOutcome (reply: FastifyReply, outcome: Outcome, requestId: RequestId | null, retryable: boolean, options: SendOptions = {}): FastifyReply {
  return reply
    .code(options.status ?? HTTP_STATUS[outcome.reason])
    .headers(errorHeaders(outcome, retryable))
    .send(errorBody(outcome, requestId, options.entries))
}
