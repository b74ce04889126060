import { setTimeout as delay } from 'node:timers/promises'
import type { FastifyRequest } from 'fastify'
import type { ServiceStatus } from 'dotterelspur'
import { RunEnd } from '../Ledger.js'
import type { Ledger } from '../Ledger.js'
import { sendPresence, servicePresence } from '../presence.js'
import { VmPower } from '../VmHost.js'
import type { VmHost } from '../VmHost.js'
import type { VmHttp } from '../VmHttp.js'

export interface ServiceSettings {
  /** Duration of a call. */
  readonly callMs: number
  readonly capacity: number
}

export const DEFAULT_SERVICE_SETTINGS: ServiceSettings = { callMs: 5, capacity: 64 }

/** A worker of a plain service: runs each request that reaches it, repeated ones included. */
export class ServiceVm {
  private running = 0
  private calls = 0

  constructor (readonly host: VmHost, private readonly settings: ServiceSettings, private readonly ledger: Ledger) {}

  status (): ServiceStatus {
    return {
      vm: this.host.place.vm,
      incarnation: this.host.incarnation,
      leaving: this.host.leaving,
      load: { running: this.running, waiting: 0, capacity: this.settings.capacity, cacheUsed: 0, ageMs: 0 }
    }
  }

  /** Runs a call. Resolves with undefined if the process died or was paused before it could respond. */
  async call (request: FastifyRequest): Promise<ServiceAnswer | undefined> {
    const close = this.ledger.begin({
      requestId: headerOf(request, 'x-request-id') ?? '',
      idempotencyKey: headerOf(request, 'idempotency-key'),
      endpoint: this.host.place.vm,
      group: null,
      formation: 0,
      membersUp: 1,
      membersDue: 1
    })
    const incarnation = this.host.incarnation
    this.running += 1
    this.calls += 1
    const call = this.calls
    await delay(this.settings.callMs + this.host.straggleMs)
    await this.host.gate()
    this.running -= 1
    const alive = this.host.power === VmPower.Up && this.host.incarnation === incarnation
    close(alive ? RunEnd.Whole : RunEnd.Died)
    if (!alive) return undefined
    return { service: this.host.place.service ?? '', vm: this.host.place.vm, method: request.method, path: request.url, call }
  }
}

export interface ServiceAnswer {
  readonly service: string
  readonly vm: string
  readonly method: string
  readonly path: string
  readonly call: number
}

function headerOf (request: FastifyRequest, name: string): string | null {
  const value = request.headers[name]
  return typeof value === 'string' ? value : null
}

/** HTTP routes of the service, as docs/contracts/service.md describes them. */
export function registerServiceRoutes (http: VmHttp, serviceOf: (request: FastifyRequest) => ServiceVm): void {
  const { app } = http
  app.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => { done(null, body) })
  app.get('/-/presence', (request, reply) => { sendPresence(reply, servicePresence(serviceOf(request).status())) })
  app.all('/*', async (request, reply) => {
    const answer = await serviceOf(request).call(request)
    if (answer !== undefined) return reply.send(answer)
    reply.hijack()
    request.raw.socket.destroy()
  })
}
