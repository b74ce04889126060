import type { IncomingHttpHeaders } from 'node:http'
import Fastify, { type FastifyError, type FastifyInstance } from 'fastify'
import createDebug from 'debug'
import {
  BodyMemory, bodyWaitMs, callerLoadLimits, DEFAULT_MACHINE, OutcomeReason, PauseDetector, RetryBudget, Router, createRoutingOptions, mergeTeardowns, notRun, unknownOutcome,
  type Teardown
} from 'dotterelspur'
import { afterSocketsRead, ListenerGuard } from 'dotterelspur-listener'
import { authenticate, sendOutcome } from '../connection/callers.js'
import { registerJsonParser, sendUnreadBody, UnreadBody } from '../connection/registerBodyParsers.js'
import { registerDirectoryRoutes } from '../connection/registerDirectoryRoutes.js'
import { registerModelRoutes } from '../connection/registerModelRoutes.js'
import { registerOutcomeRoutes } from '../connection/registerOutcomeRoutes.js'
import { registerServiceRoutes } from '../connection/registerServiceRoutes.js'
import { HeaderReader } from '../request/CallerRequest.js'
import { HomeLink } from '../request/HomeLink.js'
import { HomeRuns } from '../request/HomeRuns.js'
import { Intake } from '../request/Intake.js'
import { KeyedRuns } from '../request/KeyedRuns.js'
import { LocalRuns } from '../request/LocalRuns.js'
import { PREFIX_BLOCK_TOKENS } from '../request/prefixHashes.js'
import { StreamFinder } from '../request/StreamFinder.js'
import { AdmissionGate } from './AdmissionGate.js'
import { CacheEventPoller } from './CacheEventPoller.js'
import { ClaimSweeper } from './ClaimSweeper.js'
import type { EntryContext } from './EntryContext.js'
import { SILENT_OBSERVER } from './EntryObserver.js'
import { DEFAULT_ENTRY_LIMITS, DEFAULT_ENTRY_TIMING, type EntryOptions } from './EntryOptions.js'
import type { EntryServices } from './EntryServices.js'
import { FleetView } from './FleetView.js'
import { NodeGate } from './NodeGate.js'
import { OpenCalls } from './OpenCalls.js'
import { PoisonTracker } from './PoisonTracker.js'

const debug = createDebug('dotterelspur:entry')
const PAUSE_TICKS_PER_THRESHOLD = 4
/** Time for callers to receive the last bytes of their answers when the listener closes. */
const FLUSH_MS = 500
/** A request that is accepted within this time after a pause may have waited through the pause. */
const STALE_AFTER_PAUSE_MS = 250
/** How often requests that have not been received in time are looked for. */
const RECEIVE_CHECK_MS = 1_000
/** Large bodies wait while all that callers make the process hold comes to this part of its limit. */
const BODIES_SHARE = 0.95

/** The part of a node that serves callers. */
export interface Entry {
  /** Opens the listener; resolves with its base URL. */
  listen (): Promise<string>
  /** Refuses new requests from now on; running requests continue. */
  beginDrain (): void
  /** Resolves when no request runs here and no caller waits for an answer, including answers that the home on another node will send. */
  idle (): Promise<void>
  /** Ends what still runs, and each wait for another home, with an error that says what is known. New requests must have been refused before. */
  endRequests (): void
  /** Number of requests that are running on this node. */
  runningCount (): number
  /** Interrupts the requests that are still running and closes the listener. */
  close (): Promise<void>
}

export function createEntry (options: EntryOptions): Entry {
  const context = createContext(options)
  const gate = new NodeGate(context.mesh, context.timing.inForceBoundMs)
  const runs = new LocalRuns(context)
  const homeRuns = new HomeRuns(context, runs, gate)
  const link = new HomeLink(context, homeRuns, new StreamFinder(context))
  const keyed = new KeyedRuns(context, homeRuns, link, gate)
  const intake = new Intake(context, gate, homeRuns, keyed)
  const services: EntryServices = { context, gate, headers: new HeaderReader(context.limits), intake, keyed, homeRuns, link }
  const calls = new OpenCalls()
  const guard = options.guard ?? new ListenerGuard(callerLoadLimits(DEFAULT_MACHINE), context.clock)
  const app = createListener(services, calls, guard)
  const teardown = startComponents(context, link)
  const endRequests = (): void => {
    runs.endAll()
    link.endAll()
  }
  return {
    listen: () => app.listen({ host: options.host, port: options.port }),
    beginDrain: () => {
      gate.beginDrain()
      debug('draining, %d requests running', runs.count)
    },
    idle: async () => {
      while (runs.count > 0 || calls.count > 0) {
        await runs.idle()
        await calls.idle()
      }
    },
    endRequests,
    runningCount: () => runs.count,
    close: async () => {
      gate.beginDrain()
      endRequests()
      await runs.idle()
      teardown()
      await closeListener(app, context)
      if (options.guard === undefined) guard.close()
    }
  }
}

function createContext (options: EntryOptions): EntryContext {
  const { clock, random, mesh, store, engines, services, teams, observer = SILENT_OBSERVER, hasTerminated } = options
  const timing = { ...DEFAULT_ENTRY_TIMING, ...options.timing }
  const limits = { ...DEFAULT_ENTRY_LIMITS, ...options.limits }
  const { region, failureDomain } = mesh.self
  return {
    clock,
    random,
    mesh,
    store,
    engines,
    services,
    observer,
    timing,
    limits,
    teams,
    fleet: new FleetView(mesh, clock, timing.evidenceTtlMs),
    gate: new AdmissionGate(clock, mesh, teams),
    router: new Router(createRoutingOptions({ region, failureDomain }, { prefixBlockTokens: PREFIX_BLOCK_TOKENS })),
    retries: new RetryBudget(),
    pauses: new PauseDetector(timing.pauseThresholdMs, STALE_AFTER_PAUSE_MS, clock.nowMs()),
    poison: new PoisonTracker({ clock, mesh, store, limits: limits.poison, hasTerminated })
  }
}

function startComponents (context: EntryContext, link: HomeLink): Teardown {
  const { fleet, router, gate, teams, clock, poison } = context
  const unregister = fleet.registerListener((targets) => {
    router.replaceTargets(targets, clock.nowMs())
    gate.configureLanes(targets)
  })
  return mergeTeardowns(unregister, teams.start(), gate.start(), new CacheEventPoller(context).start(), fleet.start(), link.start(), new ClaimSweeper(context).start(), poison.start(), watchPauses(context))
}

function watchPauses ({ clock, pauses, timing, observer }: EntryContext): Teardown {
  let cancel: Teardown = () => {}
  const tick = (): void => {
    const pauseMs = pauses.tick(clock.nowMs())
    if (pauseMs > 0) {
      observer.paused(pauseMs)
      debug('this process was paused for %d ms', Math.round(pauseMs))
    }
    cancel = clock.registerTimer(timing.pauseThresholdMs / PAUSE_TICKS_PER_THRESHOLD, tick)
  }
  tick()
  return () => { cancel() }
}

/** Requests that have arrived are answered; responses that are being flushed get `FLUSH_MS` to finish. Idle connections are closed at once. */
async function closeListener (app: FastifyInstance, { clock }: EntryContext): Promise<void> {
  await new Promise<void>((resolve) => { afterSocketsRead(resolve) })
  const { server } = app
  const cancel = clock.registerTimer(FLUSH_MS, () => { server.closeAllConnections() })
  // The framework's own closing refuses requests in a form that callers do not know.
  if (server.listening) await new Promise<void>((resolve) => { server.close(() => { resolve() }) })
  cancel()
  await app.close()
}

function createListener (services: EntryServices, calls: OpenCalls, guard: ListenerGuard): FastifyInstance {
  const { clock, limits, teams } = services.context
  const { load } = guard
  const app = Fastify({
    logger: false,
    bodyLimit: limits.maxBodyBytes,
    requestTimeout: limits.receiveTimeoutMs,
    forceCloseConnections: 'idle',
    routerOptions: { maxParamLength: 512 },
    http: { maxHeaderSize: limits.maxHeaderBytes, connectionsCheckingInterval: RECEIVE_CHECK_MS }
  })
  app.server.maxConnections = limits.maxConnections
  guard.register(app.server)
  calls.watch(app)
  app.addHook('onRequest', (request, reply, done) => { authenticate(teams, services.gate, request, reply, done) })
  app.addHook('onSend', (_request, reply, _payload, done) => {
    if (services.gate.isDraining) reply.header('connection', 'close')
    done()
  })
  app.setErrorHandler((error: FastifyError, _request, reply) => {
    if (error instanceof UnreadBody) return sendUnreadBody(reply, error)
    const status = error.statusCode ?? 500
    if (status < 500) return sendOutcome(reply, notRun(OutcomeReason.InvalidRequest, error.message, null), null, true, { status })
    debug('unexpected error: %s', error.stack)
    return sendOutcome(reply, unknownOutcome(OutcomeReason.StreamBroken, 'internal error'), null, false, { status })
  })
  app.setNotFoundHandler((_request, reply) => sendOutcome(reply, notRun(OutcomeReason.InvalidRequest, 'no such path', null), null, true, { status: 404 }))
  const bodies = {
    clock,
    maxBodyBytes: limits.maxBodyBytes,
    memory: new BodyMemory(Math.min(limits.bodyMemoryBytes, load.limits.heldBytes * BODIES_SHARE), () => limits.maxBodyBytes, load),
    maxWaitMs: (headers: IncomingHttpHeaders) => bodyWaitMs(Math.min(limits.receiveTimeoutMs, services.headers.deadlineMs(headers)), false)
  }
  registerJsonParser(app, bodies)
  registerModelRoutes(app, services)
  registerServiceRoutes(app, services, bodies)
  registerDirectoryRoutes(app, services)
  registerOutcomeRoutes(app, services)
  return app
}
