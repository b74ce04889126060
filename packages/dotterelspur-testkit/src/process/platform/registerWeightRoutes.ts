import type { FastifyInstance, FastifyRequest } from 'fastify'
import { CallKind } from './PlatformFaults.js'
import { serveCall } from './PlatformContext.js'
import type { PlatformAnswer, PlatformContext } from './PlatformContext.js'
import type { WeightStore } from './WeightStore.js'

export const WEIGHTS_PATH = '/v1/weights'
export const WEIGHT_GRANTS_PATH = '/v1/weights/grants'

const OK = 200
const CREATED = 201
const BAD_REQUEST = 400
const NOT_FOUND = 404
const TOO_MANY_CALLS = 429

interface GrantParams {
  readonly grant: string
}

interface GrantBody {
  readonly vm?: unknown
  readonly bytesPerSecond?: unknown
}

/** Routes of the weight store's budget, as docs/contracts/weight-store.md describes them. */
export function registerWeightRoutes (server: FastifyInstance, context: PlatformContext): void {
  const { weights } = context
  server.get(WEIGHTS_PATH, async (request, reply) => {
    await serveCall(context, CallKind.Read, request, reply, () => ({ status: OK, body: weights.state() }))
    return reply
  })
  server.post<{ Body: GrantBody | null }>(WEIGHT_GRANTS_PATH, async (request, reply) => {
    await serveCall(context, CallKind.Write, request, reply, () => acquire(weights, request))
    return reply
  })
  server.put<{ Params: GrantParams }>(`${WEIGHT_GRANTS_PATH}/:grant`, async (request, reply) => {
    await serveCall(context, CallKind.Write, request, reply, () => ({ status: weights.renew(request.params.grant) ? OK : NOT_FOUND, body: {} }))
    return reply
  })
  server.delete<{ Params: GrantParams }>(`${WEIGHT_GRANTS_PATH}/:grant`, async (request, reply) => {
    await serveCall(context, CallKind.Write, request, reply, () => {
      weights.release(request.params.grant)
      return { status: OK, body: {} }
    })
    return reply
  })
}

function acquire (weights: WeightStore, request: FastifyRequest<{ Body: GrantBody | null }>): PlatformAnswer {
  const { vm, bytesPerSecond } = request.body ?? {}
  if (typeof vm !== 'string' || typeof bytesPerSecond !== 'number') return { status: BAD_REQUEST, body: { reason: 'vm and bytesPerSecond are needed' } }
  const granted = weights.acquire(vm, bytesPerSecond)
  return granted.ok ? { status: CREATED, body: granted.value } : { status: TOO_MANY_CALLS, body: granted.error }
}
