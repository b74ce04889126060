import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import { BodyErrorKind, BodyMemory, OutcomeReason, notRun, readBody, statedBytes, type Clock, type HeldBody, type Outcome } from 'dotterelspur'
import { sendOutcome } from './callers.js'
import { guardedConnection } from 'dotterelspur-listener'

const TOO_LARGE = 413
const BAD_REQUEST = 400
/** At the least: the requests that hold the memory end within seconds, and bodies that wait are read before new ones. */
const NO_ROOM_RETRY_MS = 500

type Done = (error: Error | null, body?: unknown) => void

/** Hands the complete body on to the parser of its type. */
type BodyHandler = (request: FastifyRequest, body: Buffer, done: Done) => void

interface Refusal {
  readonly outcome: Outcome
  readonly status?: number
}

const REFUSALS: Readonly<Record<BodyErrorKind, (memory: BodyMemory) => Refusal>> = {
  [BodyErrorKind.TooLarge]: () => ({ outcome: notRun(OutcomeReason.InvalidRequest, 'Request body is too large', null), status: TOO_LARGE }),
  [BodyErrorKind.Aborted]: () => ({ outcome: notRun(OutcomeReason.InvalidRequest, 'the connection was closed before the body was complete', null), status: BAD_REQUEST }),
  [BodyErrorKind.NoRoom]: ({ expectedWaitMs }) => ({ outcome: notRun(OutcomeReason.Overloaded, 'the memory for request bodies is full', Math.max(NO_ROOM_RETRY_MS, expectedWaitMs)) })
}

/** A body that could not be read. The error handler of the listener responds with its refusal. */
export class UnreadBody extends Error {
  readonly refusal: Refusal

  constructor (kind: BodyErrorKind, memory: BodyMemory) {
    const refusal = REFUSALS[kind](memory)
    super(refusal.outcome.message)
    this.refusal = refusal
  }
}

export function sendUnreadBody (reply: FastifyReply, { refusal: { outcome, status } }: UnreadBody): FastifyReply {
  return sendOutcome(reply, outcome, null, true, status === undefined ? {} : { status })
}

/** How bodies are read. */
export interface BodyLimits {
  readonly clock: Clock
  readonly maxBodyBytes: number
  readonly memory: BodyMemory
  /** How long the body of a request with these headers may wait for memory in all; 750 ms by default. */
  readonly maxWaitMs?: (headers: IncomingHttpHeaders) => number
}

const heldBodies = new WeakMap<FastifyRequest, HeldBody>()

/** Parses JSON bodies, and counts all bodies. Fastify's own parsers keep an object for each chunk of a body, which takes many times the memory of small ones. */
export function registerJsonParser (app: FastifyInstance, limits: BodyLimits): void {
  // Each body is held until the response to its request has been sent, or its connection is closed.
  app.addHook('preParsing', (request, reply, payload, done) => {
    const held = limits.memory.open((changeBytes) => { guardedConnection(request.raw.socket)?.growBodies(changeBytes) }, statedBytes(request.headers['content-length']))
    heldBodies.set(request, held)
    reply.raw.once('close', () => { held.release() })
    done(null, payload)
  })
  const parseJson = app.getDefaultJsonParser('error', 'error')
  registerParser(app, 'application/json', limits, (request, body, done) => { parseJson(request, body.toString('utf8'), done) })
}

/** Takes bodies of all types as they are, in a scope of a listener with `registerJsonParser`. */
export function registerRawParser (scope: FastifyInstance, limits: BodyLimits): void {
  scope.removeAllContentTypeParsers()
  registerParser(scope, '*', limits, (_request, body, done) => { done(null, body) })
}

function registerParser (app: FastifyInstance, contentType: string, { clock, maxBodyBytes, memory, maxWaitMs }: BodyLimits, handle: BodyHandler): void {
  if (app.hasContentTypeParser(contentType)) app.removeContentTypeParser(contentType)
  app.addContentTypeParser(contentType, (request: FastifyRequest, payload: IncomingMessage, done: Done) => {
    readBody(payload, maxBodyBytes, heldBodies.get(request)!, clock, maxWaitMs === undefined ? undefined : () => maxWaitMs(request.headers))
      .then((body) => {
        if (body.ok) handle(request, body.value, done)
        else done(new UnreadBody(body.error, memory))
      })
      .catch((error: Error) => { done(error) })
  })
}
