import { DEFAULT_MACHINE, EndpointErrorKind, failed, responseLoadLimits, ResponseTotal, success } from 'dotterelspur'
import type { Clock, EndpointError, ResponseLoadLimits, Result } from 'dotterelspur'
import type { Dispatcher } from 'undici'
import type { z } from 'zod'
import { ConnectionPools, PoolKind } from '../connection/ConnectionPools.js'
import { parseJson, readEngineError, readExchangeFailure } from '../request/EngineAnswer.js'
import { Exchange } from '../request/Exchange.js'
import { DEFAULT_ENDPOINT_SETTINGS } from './EndpointSettings.js'
import type { EndpointSettings } from './EndpointSettings.js'

export interface EndpointCallerOptions {
  readonly clock: Clock
  readonly settings?: Partial<EndpointSettings>
  /** What the clients of one process share; by default what the smallest machine allows. */
  readonly total?: ResponseTotal<Exchange>
}

/**
 * The bodies of answers that a process buffers.
 * @param callerBytes what callers make the process hold.
 */
export function createAnswerTotal (limits: ResponseLoadLimits, callerBytes?: () => number): ResponseTotal<Exchange> {
  return new ResponseTotal(limits, (largest) => { largest.endAtTotal() }, callerBytes)
}

/** One short request, answered by a JSON document of a known shape. */
export interface ShortCall<Value> {
  readonly address: string
  readonly method: Dispatcher.HttpMethod
  readonly path: string
  readonly body?: unknown
  readonly shape: z.ZodType<Value>
  readonly timeoutMs: number
}

const OK = 200
const JSON_HEADERS = { 'content-type': 'application/json' }

/** What the engine and the service client share: connections, bounds and short calls. */
export class EndpointCaller {
  readonly settings: EndpointSettings
  readonly clock: Clock
  private readonly pools: ConnectionPools
  private readonly total: ResponseTotal<Exchange>

  constructor (options: EndpointCallerOptions) {
    this.clock = options.clock
    this.settings = { ...DEFAULT_ENDPOINT_SETTINGS, ...options.settings }
    this.pools = new ConnectionPools(this.settings)
    this.total = options.total ?? createAnswerTotal(responseLoadLimits(DEFAULT_MACHINE))
  }

  /** Starts an exchange; undefined when too many requests wait for this endpoint's connections already. */
  start (address: string, kind: PoolKind, request: Dispatcher.DispatchOptions, signal?: AbortSignal): Exchange | undefined {
    const pool = this.pools.acquire(address, kind)
    if (pool === undefined) return undefined
    const { clock, total, settings: { bufferedBytes } } = this
    const options = { clock, bufferedBytes, total }
    return new Exchange(pool, request, signal === undefined ? options : { ...options, signal })
  }

  async short<Value> (call: ShortCall<Value>): Promise<Result<Value, EndpointError>> {
    const { address, method, path, body, timeoutMs } = call
    const deadlineMs = this.clock.nowMs() + timeoutMs
    const request = body === undefined ? { method, path } : { method, path, headers: JSON_HEADERS, body: JSON.stringify(body) }
    const exchange = this.start(address, PoolKind.Control, request)
    if (exchange === undefined) return failed(queueFull(address))
    const head = await exchange.answer(timeoutMs)
    if (!head.ok) return failed(readExchangeFailure(head.error))
    const content = await exchange.body(this.settings.answerBytes, deadlineMs - this.clock.nowMs())
    if (!content.ok) return failed(readExchangeFailure(content.error))
    if (head.value.status !== OK) return failed(readEngineError(head.value.status, content.value))
    const parsed = call.shape.safeParse(parseJson(content.value))
    return parsed.success ? success(parsed.data) : failed({ kind: EndpointErrorKind.Malformed, reason: `${path} answered in another shape` })
  }

  /** Breaks every connection. */
  async close (): Promise<void> {
    await this.pools.close()
  }
}

export function queueFull (address: string): EndpointError {
  return { kind: EndpointErrorKind.NotRun, reason: `too many requests wait for ${address}` }
}
