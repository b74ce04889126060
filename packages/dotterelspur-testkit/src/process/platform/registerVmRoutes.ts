import type { FastifyInstance } from 'fastify'
import { CallKind } from './PlatformFaults.js'
import { STALE_VM_LIST_MS, serveCall } from './PlatformContext.js'
import type { PlatformContext } from './PlatformContext.js'

export const VMS_PATH = '/v1/vms'

const OK = 200
const NOT_MODIFIED = 304

/** Route of the lagging VM list, as docs/contracts/vm-list.md describes it. */
export function registerVmRoutes (server: FastifyInstance, context: PlatformContext): void {
  server.get(VMS_PATH, async (request, reply) => {
    await serveCall(context, CallKind.Read, request, reply, (asOf) => {
      const listing = context.vms.answer(asOf < context.objects.version ? STALE_VM_LIST_MS : 0)
      if (request.headers['if-none-match'] === `"${listing.version}"`) return { status: NOT_MODIFIED, body: '' }
      return { status: OK, body: listing }
    })
    return reply
  })
}
