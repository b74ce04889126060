import fastify from 'fastify'
import type { FastifyInstance, FastifyReply } from 'fastify'
import { PlatformFaultKind, VmFaultKind, type EndpointFleet, type PlatformServer } from 'dotterelspur-testkit'
import type { ClusterNode } from './ClusterNode.js'
import { NODE_FAULT_HANDLERS, NodeFaultKind } from './NodeFaults.js'

interface FaultBody<Kind> {
  readonly kind: Kind
  readonly delayMs?: number
}

/** The parts of a cluster into which faults are injected. */
export interface ControlledCluster {
  readonly platform: PlatformServer
  readonly endpoints: EndpointFleet
  readonly nodes: readonly ClusterNode[]
}

const HOST = '127.0.0.1'

/** HTTP server that injects faults into the stand-ins and node processes. It is not part of the product. */
export class ControlServer {
  private readonly app: FastifyInstance = fastify({ forceCloseConnections: true })
  private address = ''

  constructor (private readonly cluster: ControlledCluster) {
    this.registerRoutes()
  }

  get url (): string {
    return this.address
  }

  async listen (): Promise<void> {
    this.address = await this.app.listen({ host: HOST, port: 0 })
  }

  async close (): Promise<void> {
    await this.app.close()
  }

  private registerRoutes (): void {
    const { app } = this
    const { endpoints, platform } = this.cluster
    app.get('/vms', () => endpoints.views())
    app.get('/ledger', () => endpoints.ledger.rows())

    app.post<{ Params: { vm: string }, Body: FaultBody<VmFaultKind> }>('/vms/:vm/fault', { schema: faultSchema(VmFaultKind) }, async (request, reply) => {
      const { vm } = request.params
      if (!endpoints.has(vm)) return notFound(reply, `no VM ${vm}`)
      await endpoints.fault(vm, request.body)
      return done(reply)
    })

    app.post<{ Params: { id: string }, Body: FaultBody<VmFaultKind> }>('/fabric-domains/:id/fault', { schema: faultSchema(VmFaultKind) }, async (request, reply) => {
      const { id } = request.params
      if (id === '' || endpoints.fabricDomain(id).length === 0) return notFound(reply, `no fabric domain ${id}`)
      await endpoints.fabricFault(id, request.body)
      return done(reply)
    })

    app.post<{ Body: FaultBody<PlatformFaultKind> }>('/platform/fault', { schema: faultSchema(PlatformFaultKind) }, (request, reply) => {
      platform.faults.set(request.body)
      return done(reply)
    })

    app.post<{ Params: { index: string }, Body: FaultBody<NodeFaultKind> }>('/nodes/:index/fault', { schema: faultSchema(NodeFaultKind) }, async (request, reply) => {
      const node = this.cluster.nodes[Number(request.params.index)]
      if (node === undefined) return notFound(reply, `no node ${request.params.index}`)
      await NODE_FAULT_HANDLERS[request.body.kind](node)
      return done(reply)
    })
  }
}

/** Schema of a fault's body; the validation error lists the accepted kinds. */
function faultSchema (kinds: Readonly<Record<string, string>>): object {
  return {
    body: {
      type: 'object',
      required: ['kind'],
      additionalProperties: false,
      properties: { kind: { type: 'string', enum: Object.values(kinds) }, delayMs: { type: 'number', minimum: 0 } }
    }
  }
}

function done (reply: FastifyReply): FastifyReply {
  return reply.send({ done: true })
}

function notFound (reply: FastifyReply, message: string): FastifyReply {
  return reply.code(404).send({ message })
}
