import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http'
import { responseHeaders } from '../connection/headers.js'
import type { ResponseStart, BufferedResponse } from './EndpointCall.js'

/** Errors that the gateway itself returns instead of an endpoint's response. */
export enum GatewayErrorKind {
  NoManifest = 'no-manifest',
  NoRoute = 'no-route',
  Unauthorized = 'unauthorized',
  BodyTooLarge = 'body-too-large',
  /** The request was not run and will not be run. */
  NotRun = 'not-run',
  /** The request was not run and will not be run, because it crashes the endpoints that run it. */
  Quarantined = 'quarantined',
  /** The request may have run; its endpoint was lost. */
  EndpointLost = 'endpoint-lost',
  /** The request may have run; its deadline has passed. */
  TimedOut = 'timed-out',
  /** The request may have run; an unexpected error of the gateway ended it. */
  Unexpected = 'unexpected'
}

/** 408, 421, 429 and 503 guarantee that the request has not run, so only `NoManifest`, `NotRun` and `Quarantined` may use them. */
const STATUS: Readonly<Record<GatewayErrorKind, number>> = {
  [GatewayErrorKind.NoManifest]: 503,
  [GatewayErrorKind.NoRoute]: 404,
  [GatewayErrorKind.Unauthorized]: 401,
  [GatewayErrorKind.BodyTooLarge]: 413,
  [GatewayErrorKind.NotRun]: 503,
  [GatewayErrorKind.Quarantined]: 503,
  [GatewayErrorKind.EndpointLost]: 502,
  [GatewayErrorKind.TimedOut]: 504,
  [GatewayErrorKind.Unexpected]: 502
}

const SECOND_MS = 1_000

/** The response to one caller's request. Sends at most one response, which is either complete or visibly aborted. */
export class CallerResponse {
  private headSent = false

  constructor (private readonly request: IncomingMessage, private readonly response: ServerResponse, private readonly isDraining: () => boolean) {}

  /** Whether part of a response has been sent. */
  get isStarted (): boolean {
    return this.headSent
  }

  get isClosed (): boolean {
    return this.response.writableEnded || this.response.destroyed
  }

  /** Starts a response of unknown length. */
  start ({ status, headers }: ResponseStart): void {
    if (this.headSent || this.isClosed) return
    this.headSent = true
    this.announceClose()
    this.response.writeHead(status, responseHeaders(headers))
  }

  /** Returns false while the caller reads more slowly than data is written. */
  write (chunk: Buffer): boolean {
    return this.isClosed || this.response.write(chunk)
  }

  onDrain (listener: () => void): void {
    this.response.on('drain', listener)
  }

  end (chunk: Buffer): void {
    if (this.isClosed) return
    if (chunk.length === 0) this.response.end()
    else this.response.end(chunk)
  }

  /** Sends an endpoint's buffered response unchanged. */
  deliver ({ status, headers, body }: BufferedResponse): void {
    if (this.headSent || this.isClosed) return
    this.headSent = true
    this.announceClose()
    const kept = responseHeaders(headers)
    const bodyless = this.request.method === 'HEAD' || status === 204 || status === 304
    if (!bodyless) kept['content-length'] = body.length
    this.response.writeHead(status, kept)
    this.response.end(bodyless ? undefined : body)
  }

  /** Sends an error of the gateway itself, unless a response was begun. `retryAfterMs` is null where a retry can't succeed. */
  sendError (kind: GatewayErrorKind, retryAfterMs: number | null): boolean {
    if (this.headSent || this.isClosed) return false
    this.headSent = true
    this.announceClose()
    const body = Buffer.from(JSON.stringify({ error: { type: kind, retryAfterMs } }))
    const headers: OutgoingHttpHeaders = { 'content-type': 'application/json', 'content-length': body.length }
    if (retryAfterMs !== null) headers['retry-after'] = (retryAfterMs / SECOND_MS).toFixed(2)
    this.response.writeHead(STATUS[kind], headers)
    this.response.end(body)
    return true
  }

  /** Ends a request that an unexpected error has left without a complete response: by an error, or visibly if a response was begun. */
  fail (): void {
    if (!this.isClosed && !this.sendError(GatewayErrorKind.Unexpected, null)) this.abort()
  }

  /** Destroys the connection, so that an incomplete response can't be mistaken for a complete one. */
  abort (): void {
    this.response.destroy()
  }

  /** While the node drains, asks the caller to reconnect elsewhere, so that no request is sent on a connection that is being closed. */
  private announceClose (): void {
    if (this.isDraining()) this.response.setHeader('connection', 'close')
  }
}
