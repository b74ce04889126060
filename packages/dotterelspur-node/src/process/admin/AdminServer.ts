import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import debug from 'debug'
import { Counter } from 'prom-client'
import type { Result } from 'dotterelspur'
import { AdminErrorKind, MAX_ADMIN_BODY_BYTES, MetricsAccess, type AdminError, type AdminErrorReply } from 'dotterelspur-settings'
import { ADMIN_STATUS } from './AdminError.js'
import type { AdminBackend, AdminServer, AdminServerOptions } from './AdminBackend.js'
import type { AdminContext, AdminRoute } from './AdminRoute.js'
import { AdminAccess, AdminScopeKind, authenticate, authorize, type AdminScope } from './AdminScope.js'
import { AUDIT_ROUTES } from './auditRoutes.js'
import { DRAIN_ROUTES } from './drainRoutes.js'
import { FLEET_ROUTES } from './fleetRoutes.js'
import { registerNodeDrains } from './nodeDrains.js'
import { SETTINGS_ROUTES } from './settingsRoutes.js'
import { TeamDocuments } from './TeamDocuments.js'

const log = debug('dotterelspur:admin')

const MAX_HEADER_BYTES = 16_384
const MAX_PARAMETER_LENGTH = 256
const REQUEST_TIMEOUT_MS = 15_000
const IDLE_TIMEOUT_MS = 30_000

const ROUTES: readonly AdminRoute[] = [...SETTINGS_ROUTES, ...FLEET_ROUTES, ...DRAIN_ROUTES, ...AUDIT_ROUTES]

/**
 * Starts the operators' listener. The sizes of bodies and headers, the number of connections and the time to receive
 * a request are bounded, so that a client without a token can't exhaust the node's memory.
 *
 * @throws the listener's error when the address can't be bound.
 */
export async function startAdminServer (backend: AdminBackend, options: AdminServerOptions): Promise<AdminServer> {
  const server = createServer(options)
  const context: AdminContext = { backend, options, teams: new TeamDocuments(backend.mesh) }
  registerCounter(server, context)
  for (const route of ROUTES) registerRoute(server, route, context)
  registerHealth(server, context)
  const address = await server.listen({ host: options.host, port: options.port })
  const stopDrains = registerNodeDrains(backend)
  log('listening at %s', address)
  return {
    address,
    close: async () => {
      stopDrains()
      await server.close()
    }
  }
}

function createServer (options: AdminServerOptions): FastifyInstance {
  const server = fastify({
    bodyLimit: MAX_ADMIN_BODY_BYTES,
    requestTimeout: REQUEST_TIMEOUT_MS,
    connectionTimeout: IDLE_TIMEOUT_MS,
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    forceCloseConnections: 'idle',
    routerOptions: { maxParamLength: MAX_PARAMETER_LENGTH },
    http: { maxHeaderSize: MAX_HEADER_BYTES },
    onProtoPoisoning: 'error',
    onConstructorPoisoning: 'error'
  })
  server.server.maxConnections = options.maxConnections
  options.guard?.register(server.server)
  server.setNotFoundHandler((_request, reply) => sendError(reply, { kind: AdminErrorKind.NotFound, message: 'no such path' }))
  server.setErrorHandler((error: Error & { statusCode?: number }, _request, reply) => sendError(reply, fromThrown(error)))
  return server
}

/** Converts errors that the HTTP library raises before a handler runs; any other error is a bug in this program. */
function fromThrown (error: Error & { statusCode?: number }): AdminError {
  const status = error.statusCode ?? 500
  if (status === 413) return { kind: AdminErrorKind.TooLarge, message: `the request body exceeds ${MAX_ADMIN_BODY_BYTES} bytes` }
  if (status >= 400 && status < 500) return { kind: AdminErrorKind.InvalidRequest, message: error.message }
  log('handler failed: %O', error)
  return { kind: AdminErrorKind.Internal, message: 'the request handler failed; see the log of the node' }
}

async function sendError (reply: FastifyReply, error: AdminError): Promise<void> {
  const body: AdminErrorReply = { error }
  await reply.code(ADMIN_STATUS[error.kind]).send(body)
}

async function send (reply: FastifyReply, result: Result<unknown, AdminError>): Promise<void> {
  if (result.ok) await reply.send(result.value)
  else await sendError(reply, result.error)
}

function scopeOf (request: FastifyRequest, context: AdminContext): Result<AdminScope, AdminError> {
  return authenticate(request.headers.authorization, context.options.tokenHash, context.teams)
}

/** Counts requests by response status, so that many rejected tokens show in metrics without a log line for each. */
function registerCounter (server: FastifyInstance, { backend }: AdminContext): void {
  const counter = new Counter({ name: 'dotterelspur_admin_requests_total', help: 'Requests to the operators\' listener, by status.', labelNames: ['status'], registers: [backend.metrics] })
  server.addHook('onResponse', async (_request, reply) => { counter.inc({ status: reply.statusCode }) })
}

function registerRoute (server: FastifyInstance, route: AdminRoute, context: AdminContext): void {
  const scopes = new WeakMap<FastifyRequest, AdminScope>()
  server.route({
    method: route.method,
    url: route.url,
    // Runs before the body is read, so that a client without a token can't make the node buffer a body.
    onRequest: async (request, reply) => {
      const scope = scopeOf(request, context)
      if (!scope.ok) return await sendError(reply, scope.error)
      const allowed = authorize(route.access, scope.value, paramsOf(request)['team'])
      if (!allowed.ok) return await sendError(reply, allowed.error)
      scopes.set(request, scope.value)
    },
    handler: async (request, reply) => {
      const scope = scopes.get(request)!
      await send(reply, await route.handler({ scope, params: paramsOf(request), query: request.query, body: request.body }, context))
    }
  })
}

function paramsOf (request: FastifyRequest): Readonly<Record<string, string>> {
  return request.params as Readonly<Record<string, string>>
}

/** Health and readiness need no token, for supervisors and load balancers; metrics need one unless the settings open them. */
function registerHealth (server: FastifyInstance, context: AdminContext): void {
  server.get('/healthz', async (_request, reply) => { await reply.send({ healthy: true }) })
  server.get('/readyz', async (_request, reply) => {
    const readiness = context.backend.readiness()
    await reply.code(readiness.ready ? 200 : 503).send(readiness)
  })
  server.get('/metrics', async (request, reply) => {
    const scope = context.options.metricsAccess === MetricsAccess.Open ? null : scopeOf(request, context)
    if (scope !== null && !scope.ok) return await sendError(reply, scope.error)
    if (scope !== null && scope.value.kind !== AdminScopeKind.Fleet) return await send(reply, authorize(AdminAccess.Fleet, scope.value, undefined))
    const text = await context.backend.metrics.metrics()
    await reply.type(context.backend.metrics.contentType).send(text)
  })
}
