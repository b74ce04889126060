import type { FastifyReply, FastifyRequest } from 'fastify'
import { sleep } from 'dotterelspur'
import type { Clock } from 'dotterelspur'
import type { CallMeter } from './CallMeter.js'
import type { LaggingVmList } from './LaggingVmList.js'
import type { ObjectTable } from './ObjectTable.js'
import type { CallKind, PlatformFaults } from './PlatformFaults.js'
import type { WeightStore } from './WeightStore.js'

/** Parts that the routes of the stand-in platform share. */
export interface PlatformContext {
  readonly clock: Clock
  readonly objects: ObjectTable
  readonly vms: LaggingVmList
  readonly weights: WeightStore
  readonly faults: PlatformFaults
  readonly meter: CallMeter
  readonly heartbeatIntervalMs: number
}

export interface PlatformAnswer {
  readonly status: number
  readonly body: unknown
}

const TOO_MANY_CALLS = 429
/** Maximum age of a stale read, in versions. */
const STALE_VERSIONS = 50
/** Maximum age of a stale VM list. */
export const STALE_VM_LIST_MS = 30_000

/** Closes the caller's connection without a response. */
export function cutConnection (request: FastifyRequest, reply: FastifyReply): void {
  reply.hijack()
  request.raw.socket.destroy()
}

/**
 * Applies the active faults to a counted call: it may be rejected, cut off before it has an effect, delayed, answered with old
 * data, or carried out without a response. `act` receives the version to read at.
 */
export async function serveCall (
  context: PlatformContext,
  call: CallKind,
  request: FastifyRequest,
  reply: FastifyReply,
  act: (asOfVersion: number) => PlatformAnswer
): Promise<void> {
  const retryAfterMs = context.meter.admit(call)
  if (retryAfterMs > 0) return send(reply, { status: TOO_MANY_CALLS, body: { retryAfterMs } })
  const plan = context.faults.planCall(call)
  if (plan.cut) return cutConnection(request, reply)
  if (plan.delayBeforeMs > 0) await sleep(context.clock, plan.delayBeforeMs)
  const currentVersion = context.objects.version
  const asOfVersion = plan.stale ? context.faults.earlierVersion(currentVersion, STALE_VERSIONS) : currentVersion
  const answer = act(asOfVersion)
  if (plan.delayAfterMs > 0) await sleep(context.clock, plan.delayAfterMs)
  if (plan.loseReply) return cutConnection(request, reply)
  send(reply, answer)
}

function send (reply: FastifyReply, answer: PlatformAnswer): void {
  reply.code(answer.status).send(answer.body)
}
