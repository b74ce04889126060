import fastify from 'fastify'
import type { FastifyInstance } from 'fastify'
import { createRandom } from 'dotterelspur'
import type { Clock } from 'dotterelspur'
import { SystemClock } from 'dotterelspur-clock'
import { CallMeter } from './CallMeter.js'
import type { CallCounts, CallRates } from './CallMeter.js'
import { LaggingVmList } from './LaggingVmList.js'
import { ObjectTable } from './ObjectTable.js'
import type { PlatformContext } from './PlatformContext.js'
import { PlatformFaults } from './PlatformFaults.js'
import { registerObjectRoutes } from './registerObjectRoutes.js'
import { registerVmRoutes } from './registerVmRoutes.js'
import { registerWatchRoute } from './registerWatchRoute.js'
import { registerWeightRoutes } from './registerWeightRoutes.js'
import { WeightStore } from './WeightStore.js'

export interface PlatformServerOptions {
  readonly seed: number
  readonly clock: Clock
  readonly host: string
  /** 0 lets the OS choose. */
  readonly port: number
  readonly heartbeatIntervalMs: number
  readonly rates: CallRates
  readonly weightBudgetBytesPerSecond: number
}

const MAXIMUM_BODY_BYTES = 1_048_576

/** The platform's rates as the users state them. */
export const PLATFORM_RATES: CallRates = { readsPerSecond: 2_000, writesPerSecond: 600 }

/**
 * The platform's stand-in: object API, VM list and weight store over HTTP, with faults, in one process. Its
 * state is open to tests: `objects`, `vms`, `weights` and `faults` may be read and changed at any time.
 */
export class PlatformServer {
  readonly objects = new ObjectTable()
  readonly vms: LaggingVmList
  readonly weights: WeightStore
  readonly faults: PlatformFaults
  private readonly meter: CallMeter
  private readonly options: PlatformServerOptions
  private readonly server: FastifyInstance
  private address = ''

  constructor (options: Partial<PlatformServerOptions> = {}) {
    const clock = options.clock ?? new SystemClock()
    this.options = { seed: 1, host: '127.0.0.1', port: 0, heartbeatIntervalMs: 500, rates: PLATFORM_RATES, weightBudgetBytesPerSecond: 40_000_000_000, ...options, clock }
    this.vms = new LaggingVmList(clock, createRandom(this.options.seed))
    this.weights = new WeightStore(clock, this.options.weightBudgetBytesPerSecond)
    this.faults = new PlatformFaults(createRandom(this.options.seed + 1))
    this.meter = new CallMeter(clock, this.options.rates)
    this.server = this.createServer()
  }

  /** Base URL, once started. */
  get url (): string {
    return this.address
  }

  get calls (): CallCounts {
    return this.meter.snapshot()
  }

  async start (): Promise<void> {
    this.address = await this.server.listen({ host: this.options.host, port: this.options.port })
  }

  async stop (): Promise<void> {
    await this.server.close()
  }

  private createServer (): FastifyInstance {
    const server = fastify({ bodyLimit: MAXIMUM_BODY_BYTES, forceCloseConnections: true, routerOptions: { maxParamLength: 512 } })
    const { clock, heartbeatIntervalMs } = this.options
    const context: PlatformContext = { clock, heartbeatIntervalMs, objects: this.objects, vms: this.vms, weights: this.weights, faults: this.faults, meter: this.meter }
    server.addHook('onRequest', async (request, reply) => {
      // Silence, not a reset: a partition lets the caller wait until its own timeout.
      if (this.faults.isCutOff(request.ip)) reply.hijack()
    })
    registerObjectRoutes(server, context)
    registerWatchRoute(server, context)
    registerVmRoutes(server, context)
    registerWeightRoutes(server, context)
    return server
  }
}
