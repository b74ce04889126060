import type { FastifyInstance, FastifyRequest } from 'fastify'
import type { Result } from 'dotterelspur'
import type { ConditionFailed, ObjectTable, Revision } from './ObjectTable.js'
import { CallKind } from './PlatformFaults.js'
import { serveCall } from './PlatformContext.js'
import type { PlatformAnswer, PlatformContext } from './PlatformContext.js'

export const OBJECTS_PATH = '/v1/objects'

const OK = 200
const CREATED = 201
const BAD_REQUEST = 400
const NOT_FOUND = 404
const PRECONDITION_FAILED = 412
const VERSION_PATTERN = /^"([0-9]{1,15})"$/

interface KeyParams {
  readonly '*': string
}

interface PrefixQuery {
  readonly prefix?: string
}

/** Routes to get, list, create, update and delete objects, as docs/contracts/platform.md describes them. */
export function registerObjectRoutes (server: FastifyInstance, context: PlatformContext): void {
  const { objects } = context
  server.get<{ Querystring: PrefixQuery }>(OBJECTS_PATH, async (request, reply) => {
    await serveCall(context, CallKind.Read, request, reply, (asOf) => ({ status: OK, body: objects.list(request.query.prefix ?? '', asOf) }))
    return reply
  })
  server.get<{ Params: KeyParams }>(`${OBJECTS_PATH}/*`, async (request, reply) => {
    await serveCall(context, CallKind.Read, request, reply, (asOf) => read(objects, request.params['*'], asOf))
    return reply
  })
  server.put<{ Params: KeyParams }>(`${OBJECTS_PATH}/*`, async (request, reply) => {
    await serveCall(context, CallKind.Write, request, reply, () => write(objects, request))
    return reply
  })
  server.delete<{ Params: KeyParams }>(`${OBJECTS_PATH}/*`, async (request, reply) => {
    await serveCall(context, CallKind.Write, request, reply, () => remove(objects, request))
    return reply
  })
}

function read (objects: ObjectTable, key: string, asOfVersion: number): PlatformAnswer {
  const revision = objects.get(key, asOfVersion)
  if (revision === undefined) return { status: NOT_FOUND, body: { version: asOfVersion } }
  return { status: OK, body: revision }
}

function write (objects: ObjectTable, request: FastifyRequest<{ Params: KeyParams }>): PlatformAnswer {
  const key = request.params['*']
  if (request.headers['if-none-match'] === '*') return answerWrite(objects.create(key, request.body), CREATED)
  const expectedVersion = expectedVersionOf(request)
  if (expectedVersion === undefined) return conditionMissing()
  return answerWrite(objects.update(key, request.body, expectedVersion), OK)
}

function remove (objects: ObjectTable, request: FastifyRequest<{ Params: KeyParams }>): PlatformAnswer {
  const expectedVersion = expectedVersionOf(request)
  if (expectedVersion === undefined) return conditionMissing()
  return answerWrite(objects.remove(request.params['*'], expectedVersion), OK)
}

function expectedVersionOf (request: FastifyRequest): number | undefined {
  const match = VERSION_PATTERN.exec(request.headers['if-match'] ?? '')
  return match === null ? undefined : Number(match[1])
}

function conditionMissing (): PlatformAnswer {
  return { status: BAD_REQUEST, body: { reason: 'a write needs If-None-Match: * or If-Match: "<version>"' } }
}

function answerWrite (result: Result<Revision, ConditionFailed>, successStatus: number): PlatformAnswer {
  if (!result.ok) return { status: PRECONDITION_FAILED, body: result.error }
  return { status: successStatus, body: { key: result.value.key, version: result.value.version } }
}
