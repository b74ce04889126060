import type { IncomingMessage, ServerResponse } from 'node:http'
import fastify, { type FastifyInstance } from 'fastify'
import { HEADERS_CHECK_MS, IDLE_SLACK_MS, INITIAL_LIMITS } from './callerLimits.js'

/** Passes requests of every method and path unchanged to one handler, bypassing Fastify's routing and body parsing. */
export function createCallerApp (accept: (request: IncomingMessage, response: ServerResponse) => void): FastifyInstance {
  const app = fastify({
    logger: false,
    rewriteUrl: () => '/',
    http: { maxHeaderSize: INITIAL_LIMITS.maxHeaderBytes, connectionsCheckingInterval: HEADERS_CHECK_MS },
    requestTimeout: 0,
    // Fastify neither validates nor serializes bodies here; creating its schema compilers would take 14 ms of each start.
    schemaController: { compilersFactory: { buildValidator: noCompiler, buildSerializer: noCompiler } },
    keepAliveTimeout: INITIAL_LIMITS.idleTimeoutMs + IDLE_SLACK_MS,
    forceCloseConnections: false
  })
  app.removeAllContentTypeParsers()
  app.addContentTypeParser('*', (_request, _payload, done) => { done(null) })
  // The hook does not call `done`, so that Fastify runs no handler and leaves the response to `accept`.
  app.addHook('onRequest', (request, reply) => {
    reply.hijack()
    request.raw.url = request.originalUrl
    accept(request.raw, reply.raw)
  })
  app.route({ method: ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'], url: '/', handler: async () => { /* Never called: the hook handles the request. */ } })
  return app
}

function noCompiler (): never {
  throw new Error('invariant: no route has a schema')
}
