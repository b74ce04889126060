import { EndpointErrorKind, StreamEventKind } from 'dotterelspur'
import type { CacheEventPage, EndpointError, EngineApi, EngineOrder, GenerateRequest, RequestId, Result, StreamEvent, StreamStatus, VmStatus } from 'dotterelspur'
import type { Dispatcher } from 'undici'
import { z } from 'zod'
import { PoolKind } from '../connection/ConnectionPools.js'
import { CACHE_EVENT_PAGE, ENGINE_PRESENCE, STREAM_STATUS, VM_STATUS } from '../connection/StatusCodec.js'
import { readEngineError, readExchangeFailure } from '../request/EngineAnswer.js'
import { EngineStream, silentEvent } from '../request/EngineStream.js'
import type { Exchange } from '../request/Exchange.js'
import { startAssembly } from '../request/StreamAssembly.js'
import { EndpointCaller, queueFull } from './EndpointCaller.js'
import type { EndpointCallerOptions } from './EndpointCaller.js'

const STREAM_TYPE = 'application/x-ndjson'
const OK = 200
const PREFIX_PAGE = z.object({ prefixHashes: z.array(z.number().int().nonnegative()) })
const PREFIX_STORED = z.object({ stored: z.number().int().nonnegative() })

/** The KV cache of some prompt prefixes, as one engine exports and another imports it. */
export type PrefixCacheImage = z.infer<typeof PREFIX_PAGE>

interface StreamRequest {
  readonly address: string
  readonly dispatch: Dispatcher.DispatchOptions
  readonly requestId: RequestId
  readonly attempt: number
  readonly offset: number
  readonly signal: AbortSignal
}

/** Model engines over HTTP, as docs/contracts/engine.md describes them. */
export class HttpEngineClient implements EngineApi {
  private readonly caller: EndpointCaller

  constructor (options: EndpointCallerOptions) {
    this.caller = new EndpointCaller(options)
  }

  probe (address: string, timeoutMs: number): Promise<Result<VmStatus, EndpointError>> {
    return this.caller.short({ address, method: 'GET', path: '/v1/presence', shape: ENGINE_PRESENCE, timeoutMs })
  }

  order (address: string, order: EngineOrder, fencing: number, timeoutMs: number): Promise<Result<VmStatus, EndpointError>> {
    return this.caller.short({ address, method: 'POST', path: '/v1/orders', body: { fencing, order }, shape: VM_STATUS, timeoutMs })
  }

  generate (address: string, request: GenerateRequest, signal: AbortSignal): AsyncIterable<StreamEvent> {
    const dispatch: Dispatcher.DispatchOptions = {
      method: 'POST',
      path: '/v1/generate',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(request)
    }
    const { requestId, attempt, resumeOffset } = request
    return this.stream({ address, dispatch, requestId, attempt, offset: resumeOffset, signal })
  }

  resume (address: string, requestId: RequestId, attempt: number, offset: number, signal: AbortSignal): AsyncIterable<StreamEvent> {
    const path = `${streamPath(requestId)}/chunks?attempt=${attempt}&offset=${offset}`
    return this.stream({ address, dispatch: { method: 'GET', path }, requestId, attempt, offset, signal })
  }

  lookup (address: string, requestId: RequestId, timeoutMs: number): Promise<Result<StreamStatus, EndpointError>> {
    return this.caller.short({ address, method: 'GET', path: streamPath(requestId), shape: STREAM_STATUS, timeoutMs })
  }

  cancel (address: string, requestId: RequestId, timeoutMs: number): Promise<Result<StreamStatus, EndpointError>> {
    return this.caller.short({ address, method: 'DELETE', path: streamPath(requestId), shape: STREAM_STATUS, timeoutMs })
  }

  cacheEvents (address: string, afterSequence: number, timeoutMs: number): Promise<Result<CacheEventPage, EndpointError>> {
    return this.caller.short({ address, method: 'GET', path: `/v1/cache/events?after=${afterSequence}`, shape: CACHE_EVENT_PAGE, timeoutMs })
  }

  /** Reads the KV cache of one prefix from an engine that holds it. */
  exportPrefix (address: string, prefixHash: number, timeoutMs: number): Promise<Result<PrefixCacheImage, EndpointError>> {
    return this.caller.short({ address, method: 'GET', path: `/v1/cache/prefixes/${prefixHash}`, shape: PREFIX_PAGE, timeoutMs })
  }

  /** Gives an engine KV cache that another one made. */
  importPrefix (address: string, image: PrefixCacheImage, timeoutMs: number): Promise<Result<{ readonly stored: number }, EndpointError>> {
    return this.caller.short({ address, method: 'PUT', path: '/v1/cache/prefixes', body: image, shape: PREFIX_STORED, timeoutMs })
  }

  async close (): Promise<void> {
    await this.caller.close()
  }

  private async * stream (request: StreamRequest): AsyncGenerator<StreamEvent, void, undefined> {
    const exchange = this.caller.start(request.address, PoolKind.Request, request.dispatch, request.signal)
    if (exchange === undefined) return yield errorEvent(queueFull(request.address))
    const { settings } = this.caller
    const stream = new EngineStream(exchange, startAssembly(request.requestId, request.attempt, request.offset), settings)
    try {
      while (!await exchange.headComes(settings.answerTimeoutMs)) yield silentEvent(settings.answerTimeoutMs)
      const refusal = await this.refusalOf(exchange)
      if (refusal === undefined) yield * stream.events()
      else yield errorEvent(refusal)
    } finally {
      if (stream.ended) exchange.drain(settings.drainTimeoutMs)
      else exchange.close()
    }
  }

  /** Reads the head of the answer, which has come; undefined when a stream follows. */
  private async refusalOf (exchange: Exchange): Promise<EndpointError | undefined> {
    const { answerTimeoutMs, answerBytes } = this.caller.settings
    const head = await exchange.answer(answerTimeoutMs)
    if (!head.ok) return readExchangeFailure(head.error)
    const { status, headers } = head.value
    if (status === OK && headers['content-type']?.startsWith(STREAM_TYPE) === true) return undefined
    if (status === OK) return { kind: EndpointErrorKind.Malformed, reason: `a stream of type ${headers['content-type'] ?? 'unknown'}` }
    const body = await exchange.body(answerBytes, answerTimeoutMs)
    return body.ok ? readEngineError(status, body.value) : readExchangeFailure(body.error)
  }
}

function streamPath (requestId: RequestId): string {
  return `/v1/streams/${encodeURIComponent(requestId)}`
}

function errorEvent (error: EndpointError): StreamEvent {
  return { kind: StreamEventKind.Error, error }
}
