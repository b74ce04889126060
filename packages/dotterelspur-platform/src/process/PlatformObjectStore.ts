import { randomUUID } from 'node:crypto'
import { runProcedure, sleep } from 'dotterelspur'
import type { Clock, ObjectListing, ObjectStore, Procedure, Random, Result, StoredObject, StoreError, Teardown, WatchEvent } from 'dotterelspur'
import {
  DEFAULT_BACKOFF_BASE_MS, DEFAULT_BACKOFF_LIMIT_MS, DEFAULT_CALL_TIMEOUT_MS, DEFAULT_MAXIMUM_ATTEMPTS, DEFAULT_READS_PER_SECOND,
  DEFAULT_RELIST_INTERVAL_MS, DEFAULT_WATCH_SILENCE_MS, DEFAULT_WRITES_PER_SECOND, MAXIMUM_SEEN_KEYS
} from '../constants.js'
import { HttpTransport } from '../connection/HttpTransport.js'
import { PlatformWatch } from '../connection/PlatformWatch.js'
import { PlatformEffectKind } from '../request/PlatformEffects.js'
import type { PlatformEffect } from '../request/PlatformEffects.js'
import type { PlatformReply, PlatformRequest, WriteCondition } from '../request/PlatformCall.js'
import { getProcedure, listProcedure } from '../request/readProcedure.js'
import type { ProcedureContext } from '../request/readProcedure.js'
import { writeProcedure } from '../request/writeProcedure.js'
import type { WriteIntent } from '../request/writeProcedure.js'
import { CallBudget } from './CallBudget.js'
import type { CallTotals } from './CallBudget.js'
import { SeenVersions } from './SeenVersions.js'

export interface PlatformObjectStoreOptions {
  /** Base URL of the platform's service. */
  readonly url: string
  readonly clock: Clock
  readonly random: Random
  /** The node's own IP address, used as the source address of connections. */
  readonly localAddress?: string
  /** Sent as a bearer token when set. */
  readonly token?: string
  readonly timeoutMs?: number
  readonly maximumAttempts?: number
  readonly readsPerSecond?: number
  readonly writesPerSecond?: number
  readonly watchSilenceMs?: number
  readonly relistIntervalMs?: number
  /** Creates a unique token for each write. */
  readonly createToken?: () => string
}

/** The platform's object API over HTTP, as docs/contracts/platform.md describes it. */
export class PlatformObjectStore implements ObjectStore {
  private readonly clock: Clock
  private readonly budget: CallBudget
  private readonly transport: HttpTransport
  private readonly seen = new SeenVersions(MAXIMUM_SEEN_KEYS)
  private readonly context: ProcedureContext
  private readonly createToken: () => string
  private readonly contactListeners = new Set<() => void>()
  private readonly watches = new Set<Teardown>()

  constructor (private readonly options: PlatformObjectStoreOptions) {
    this.clock = options.clock
    this.budget = new CallBudget(options.clock, {
      readsPerSecond: options.readsPerSecond ?? DEFAULT_READS_PER_SECOND,
      writesPerSecond: options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND
    })
    this.transport = new HttpTransport({ ...options, budget: this.budget, timeoutMs: options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS })
    this.transport.onContact(() => { for (const listener of [...this.contactListeners]) listener() })
    this.context = {
      seen: this.seen,
      random: options.random,
      maximumAttempts: options.maximumAttempts ?? DEFAULT_MAXIMUM_ATTEMPTS,
      backoff: { baseMs: DEFAULT_BACKOFF_BASE_MS, limitMs: DEFAULT_BACKOFF_LIMIT_MS }
    }
    this.createToken = options.createToken ?? randomUUID
  }

  get nowMs (): number {
    return this.clock.nowMs()
  }

  /** Totals of calls so far, counted as the platform counts them. */
  get calls (): CallTotals {
    return this.budget.snapshot()
  }

  /** Number of responses older than the state that this process had already observed. */
  get staleResponses (): number {
    return this.seen.staleCount
  }

  /** Registers a listener that is called after each response or watch line from the platform. */
  registerContactListener (listener: () => void): Teardown {
    this.contactListeners.add(listener)
    return () => { this.contactListeners.delete(listener) }
  }

  async get<Body> (key: string): Promise<Result<StoredObject<Body>, StoreError>> {
    return await this.run(getProcedure<Body>(key, this.context))
  }

  async list<Body> (prefix: string): Promise<Result<ObjectListing<Body>, StoreError>> {
    return await this.run(listProcedure<Body>(prefix, this.context))
  }

  async create<Body> (key: string, body: Body): Promise<Result<StoredObject<Body>, StoreError>> {
    return await this.write(key, body, { kind: 'absent' })
  }

  async update<Body> (key: string, body: Body, expectedVersion: number): Promise<Result<StoredObject<Body>, StoreError>> {
    return await this.write(key, body, { kind: 'version', version: expectedVersion })
  }

  async remove (key: string, expectedVersion: number): Promise<Result<StoredObject<null>, StoreError>> {
    const intent: WriteIntent<null> = { key, body: null, token: null, condition: { kind: 'version', version: expectedVersion } }
    return await this.run(writeProcedure<null>(intent, this.context))
  }

  watch<Body> (prefix: string, listener: (event: WatchEvent<Body>) => void): Teardown {
    const watch = new PlatformWatch({
      prefix,
      transport: this.transport,
      budget: this.budget,
      context: {
        clock: this.clock,
        random: this.options.random,
        seen: this.seen,
        silenceMs: this.options.watchSilenceMs ?? DEFAULT_WATCH_SILENCE_MS,
        relistIntervalMs: this.options.relistIntervalMs ?? DEFAULT_RELIST_INTERVAL_MS
      },
      list: async (listed) => await this.list<unknown>(listed),
      listener: listener as (event: WatchEvent<unknown>) => void
    })
    const stop = watch.start()
    const teardown = (): void => {
      this.watches.delete(teardown)
      stop()
    }
    this.watches.add(teardown)
    return teardown
  }

  /** Sends one call outside the object API (the list of VMs, the weight store), counted and rate-limited like the others. */
  async send (request: PlatformRequest): Promise<PlatformReply> {
    return await this.transport.send(request)
  }

  /** Stops all watches and closes all connections. */
  async close (): Promise<void> {
    for (const teardown of [...this.watches]) teardown()
    await this.transport.close()
  }

  /** Runs a procedure of this package against this store. */
  async run<Value> (procedure: Procedure<PlatformEffect, Value>): Promise<Value> {
    return await runProcedure<PlatformEffect, Value>(procedure, {
      [PlatformEffectKind.Send]: async ({ request }) => await this.transport.send(request),
      [PlatformEffectKind.Wait]: async ({ durationMs }) => { await sleep(this.clock, durationMs) }
    })
  }

  /** The context for procedures that are run through this store. */
  get procedureContext (): ProcedureContext {
    return this.context
  }

  private async write<Body> (key: string, body: Body, condition: WriteCondition): Promise<Result<StoredObject<Body>, StoreError>> {
    const token = this.createToken()
    // A body that was read and modified still has the token of the earlier write. Each write gets a new token, since
    // two writes with the same token could not be distinguished.
    const stamped = { ...body, writeToken: token }
    return await this.run(writeProcedure<Body>({ key, condition, token, body: stamped }, this.context))
  }
}
