import { DispatchEndKind, ExchangeEnd, type DispatchEnd } from 'dotterelspur'
import type { StopAdmission } from '../process/StopAdmission.js'
import { GatewayErrorKind, type CallerResponse } from './CallerResponse.js'
import type { BufferedResponse } from './EndpointCall.js'

type Responder = (end: DispatchEnd, response: CallerResponse, lastFailure: BufferedResponse | null, retryAfterMs: number) => GatewayErrorKind | null

function sendError (response: CallerResponse, kind: GatewayErrorKind, retryAfterMs: number | null): GatewayErrorKind {
  response.sendError(kind, retryAfterMs)
  return kind
}

/** Sends the response for each kind of end of a dispatch, and returns the gateway's own error, if any. `retryAfterMs` applies to requests that were not run. */
export const RESPONDERS: Readonly<Record<DispatchEndKind, Responder>> = {
  [DispatchEndKind.Delivered]: () => null,
  [DispatchEndKind.CallerLeft]: () => null,
  [DispatchEndKind.CutOff]: (_end, response) => {
    response.abort()
    return null
  },
  [DispatchEndKind.DeliverFailure]: (_end, response, lastFailure) => {
    if (lastFailure === null) return sendError(response, GatewayErrorKind.EndpointLost, null)
    response.deliver(lastFailure)
    return null
  },
  [DispatchEndKind.NotRun]: (_end, response, _lastFailure, retryAfterMs) => sendError(response, GatewayErrorKind.NotRun, retryAfterMs),
  [DispatchEndKind.Unknown]: (end, response, lastFailure) => {
    if (lastFailure !== null) {
      response.deliver(lastFailure)
      return null
    }
    const kind = end.lastExchange === ExchangeEnd.TimedOut ? GatewayErrorKind.TimedOut : GatewayErrorKind.EndpointLost
    return sendError(response, kind, null)
  }
}

/** Retry-After where an endpoint refused the request: a slot becomes free about this often. */
const DEFAULT_RETRY_MS = 400

/** When the caller of a request that was not run is told to retry: at a stopping node at once, unless the refusal holds for all nodes. */
export function retryAfterMsOf ({ refusal }: DispatchEnd, stopAdmission: StopAdmission): number {
  return refusal?.retryAfterMs ?? stopAdmission.retryAfterMs(DEFAULT_RETRY_MS)
}
