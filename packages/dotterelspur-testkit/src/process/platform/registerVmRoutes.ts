import type { FastifyInstance } from 'fastify'
import { CallKind } from './PlatformFaults.js'
import { STALE_VM_LIST_MS, serveCall } from './PlatformContext.js'
import type { PlatformContext } from './PlatformContext.js'

export const VMS_PATH = '/v1/vms'

const OK = 200

/** The lagging list of VMs, as docs/contracts/vm-list.md describes it. */
export function registerVmRoutes (server: FastifyInstance, context: PlatformContext): void {
  server.get(VMS_PATH, async (request, reply) => {
    await serveCall(context, CallKind.Read, request, reply, (asOf) => ({
      status: OK,
      body: context.vms.answer(asOf < context.objects.version ? STALE_VM_LIST_MS : 0)
    }))
    return reply
  })
}
