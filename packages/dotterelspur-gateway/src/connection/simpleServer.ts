import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { ListenerGuard } from 'dotterelspur-listener'
import type { ListenAddress } from '../process/GatewaySettings.js'
import { HEADERS_CHECK_MS } from './callerLimits.js'

/** Requests to these listeners have short heads. */
const HEADERS_TIMEOUT_MS = 5_000
const OK = 200
const NOT_FOUND = 404

export interface SimpleResponse {
  readonly status: number
  readonly contentType: string
  readonly body: string
}

/** Handles a request by its URL alone; null for an unknown path. */
export type SimpleHandler = (url: URL) => Promise<SimpleResponse | null> | SimpleResponse | null

/**
 * A minimal HTTP server for requests without a body: the directory, readiness and metrics. It uses no framework because each of them is
 * requested several times a second and needs no more than this.
 */
export async function startSimpleServer ({ host, port }: ListenAddress, guard: ListenerGuard, handler: SimpleHandler): Promise<Server> {
  const server = createServer({ headersTimeout: HEADERS_TIMEOUT_MS, connectionsCheckingInterval: HEADERS_CHECK_MS }, (request, response) => {
    respond(request, response, handler).catch((error: unknown) => { response.destroy(error instanceof Error ? error : new Error(String(error))) })
  })
  guard.register(server)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return server
}

export function jsonResponse (value: unknown, status = OK): SimpleResponse {
  return { status, contentType: 'application/json', body: JSON.stringify(value) }
}

async function respond (request: IncomingMessage, response: ServerResponse, handler: SimpleHandler): Promise<void> {
  request.resume()
  const url = URL.canParse(request.url ?? '', 'http://node') ? new URL(request.url ?? '', 'http://node') : null
  const found = url === null ? null : await handler(url)
  const { status, contentType, body } = found ?? jsonResponse({ error: { type: 'not-found' } }, NOT_FOUND)
  response.writeHead(status, { 'content-type': contentType, 'content-length': Buffer.byteLength(body) })
  response.end(body)
}
