import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http'
import { responseHeaders } from '../connection/headers.js'
import type { ResponseStart, BufferedResponse } from './EndpointCall.js'

/** Why a request got an answer of the system's own. */
export enum GatewayErrorKind {
  NoManifest = 'no-manifest',
  NoRoute = 'no-route',
  Unauthorized = 'unauthorized',
  BodyTooLarge = 'body-too-large',
  /** Not run, and never will be. */
  NotRun = 'not-run',
  /** Not run, and never will be: it ends the endpoints that run it. */
  Quarantined = 'quarantined',
  /** It may have run; its endpoint was lost. */
  EndpointLost = 'endpoint-lost',
  /** It may have run; its time is over. */
  TimedOut = 'timed-out'
}

/** 429, 503, 408 and 421 promise that the request has not run: only `NoManifest`, `NotRun` and `Quarantined` may use them. */
const STATUS: Readonly<Record<GatewayErrorKind, number>> = {
  [GatewayErrorKind.NoManifest]: 503,
  [GatewayErrorKind.NoRoute]: 404,
  [GatewayErrorKind.Unauthorized]: 401,
  [GatewayErrorKind.BodyTooLarge]: 413,
  [GatewayErrorKind.NotRun]: 503,
  [GatewayErrorKind.Quarantined]: 503,
  [GatewayErrorKind.EndpointLost]: 502,
  [GatewayErrorKind.TimedOut]: 504
}

const SECOND_MS = 1_000

/** The caller's side of one request: at most one answer, whole or visibly cut off. */
export class CallerResponse {
  private headSent = false

  constructor (private readonly request: IncomingMessage, private readonly response: ServerResponse, private readonly isDraining: () => boolean) {}

  /** Part of an answer is with the caller. */
  get isStarted (): boolean {
    return this.headSent
  }

  get isClosed (): boolean {
    return this.response.writableEnded || this.response.destroyed
  }

  /** Begins an answer whose length is not known. */
  start ({ status, headers }: ResponseStart): void {
    if (this.headSent || this.isClosed) return
    this.headSent = true
    this.announceClose()
    this.response.writeHead(status, responseHeaders(headers))
  }

  /** Returns false while the caller is slow to take what is there. */
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

  /** An endpoint's answer in one piece, unchanged. */
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

  /** An answer of the system's own. `retryAfterMs` tells when to come back; null where that can't help. */
  sendError (kind: GatewayErrorKind, retryAfterMs: number | null): void {
    if (this.headSent || this.isClosed) return
    this.headSent = true
    this.announceClose()
    const body = Buffer.from(JSON.stringify({ error: { type: kind, retryAfterMs } }))
    const headers: OutgoingHttpHeaders = { 'content-type': 'application/json', 'content-length': body.length }
    if (retryAfterMs !== null) headers['retry-after'] = (retryAfterMs / SECOND_MS).toFixed(2)
    this.response.writeHead(STATUS[kind], headers)
    this.response.end(body)
  }

  /** Ends an answer that can't be completed in a way that can't be taken for its end. */
  abort (): void {
    this.response.destroy()
  }

  /** Before a planned stop each answer asks the caller to connect elsewhere, so that no request meets a closed channel. */
  private announceClose (): void {
    if (this.isDraining()) this.response.setHeader('connection', 'close')
  }
}
