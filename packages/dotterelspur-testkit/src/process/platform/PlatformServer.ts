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
  /** 0 lets the operating system choose. */
  readonly port: number
  readonly heartbeatIntervalMs: number
  readonly rates: CallRates
  readonly weightBudgetBytesPerSecond: number
}

const MAXIMUM_BODY_BYTES = 1_048_576

/** The platform's call rates, as stated by the users. */
export const PLATFORM_RATES: CallRates = { readsPerSecond: 2_000, writesPerSecond: 600 }

/**
 * Stand-in of the platform in one process: object API, VM list and weight store over HTTP, with faults. Tests may read and
 * change `objects`, `vms`, `weights` and `faults` at any time.
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

  /** Base URL; valid once started. */
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
      // No response and no reset: in a partition, the caller waits until its own timeout.
      if (this.faults.isCutOff(request.ip)) reply.hijack()
    })
    registerObjectRoutes(server, context)
    registerWatchRoute(server, context)
    registerVmRoutes(server, context)
    registerWeightRoutes(server, context)
    return server
  }
}
