import { EndpointErrorKind, failed, success } from 'dotterelspur'
import type { EndpointError, Result, ServiceApi, ServiceRequest, ServiceResponse, ServiceStatus } from 'dotterelspur'
import type { Dispatcher } from 'undici'
import { PoolKind } from '../connection/ConnectionPools.js'
import { SERVICE_PRESENCE } from '../connection/StatusCodec.js'
import { readEngineError, readExchangeFailure } from '../request/EngineAnswer.js'
import { ExchangeEnd } from '../request/Exchange.js'
import type { AnswerHead, ExchangeFailure } from '../request/Exchange.js'
import { EndpointCaller, queueFull } from './EndpointCaller.js'
import type { EndpointCallerOptions } from './EndpointCaller.js'

/** Set by a worker that refuses a call before it does anything. */
const REFUSAL_HEADER = 'x-not-run'

/** Plain services over HTTP, as docs/contracts/service.md describes them. */
export class HttpServiceClient implements ServiceApi {
  private readonly caller: EndpointCaller

  constructor (options: EndpointCallerOptions) {
    this.caller = new EndpointCaller(options)
  }

  probe (address: string, timeoutMs: number): Promise<Result<ServiceStatus, EndpointError>> {
    return this.caller.short({ address, method: 'GET', path: '/-/presence', shape: SERVICE_PRESENCE, timeoutMs })
  }

  async call (address: string, request: ServiceRequest, timeoutMs: number, signal: AbortSignal): Promise<Result<ServiceResponse, EndpointError>> {
    const { clock, settings } = this.caller
    const deadlineMs = clock.nowMs() + timeoutMs
    const exchange = this.caller.start(address, PoolKind.Request, dispatchOf(request), signal)
    if (exchange === undefined) return failed(queueFull(address))
    const head = await exchange.answer(timeoutMs)
    if (!head.ok) return failed(readExchangeFailure(head.error))
    if (request.method !== 'HEAD' && !hasLength(head.value)) {
      exchange.close()
      return failed({ kind: EndpointErrorKind.Malformed, reason: 'the response does not say where it ends' })
    }
    const body = await exchange.body(settings.responseBytes, deadlineMs - clock.nowMs())
    if (!body.ok) return failed(readBodyFailure(body.error))
    if (head.value.headers[REFUSAL_HEADER] !== undefined) return failed(readEngineError(head.value.status, body.value))
    const { status, headers } = head.value
    return success({ status, contentType: headers['content-type'] ?? null, body: body.value })
  }

  async close (): Promise<void> {
    await this.caller.close()
  }
}

function dispatchOf (request: ServiceRequest): Dispatcher.DispatchOptions {
  const headers: Record<string, string> = { 'x-request-id': request.requestId, 'x-attempt': String(request.attempt) }
  if (request.contentType !== null) headers['content-type'] = request.contentType
  if (request.idempotencyKey !== null) headers['idempotency-key'] = request.idempotencyKey
  const body = request.body.length > 0 ? request.body : null
  // The library sends an idempotent request again by itself when its connection breaks; the decision is not its own.
  return { method: request.method as Dispatcher.HttpMethod, path: request.path, headers, body, idempotent: false }
}

/** A body that ends where the connection ends can't be told from a cut one. */
function hasLength ({ status, headers }: AnswerHead): boolean {
  return status === 204 || status === 304 || headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

/** The head has come, so it ran; the rest of its answer is lost. */
function readBodyFailure (failure: ExchangeFailure): EndpointError {
  if (failure.end === ExchangeEnd.TooLarge) return { kind: EndpointErrorKind.Malformed, reason: failure.reason }
  return { kind: EndpointErrorKind.Broken, reason: failure.reason, offset: 0 }
}
