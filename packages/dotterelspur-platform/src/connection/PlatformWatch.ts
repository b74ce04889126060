import { WatchEventKind, runProcedure, sleep } from 'dotterelspur'
import type { ObjectListing, Result, StoreError, Teardown, WatchEvent } from 'dotterelspur'
import debug from 'debug'
import { MAXIMUM_RESPONSE_BYTES } from '../constants.js'
import type { CallBudget } from '../process/CallBudget.js'
import { ResponseStatus, CallKind } from '../request/PlatformCall.js'
import { watchPath } from '../request/paths.js'
import type { HttpTransport } from './HttpTransport.js'
import { LineReader } from './LineReader.js'
import { WatchLineKind } from './WatchLine.js'
import type { WatchLine } from './WatchLine.js'
import { WatchEffectKind, watchProcedure } from './watchProcedure.js'
import type { WatchContext, WatchEffect } from './watchProcedure.js'

export interface PlatformWatchOptions {
  readonly prefix: string
  readonly transport: HttpTransport
  readonly budget: CallBudget
  readonly context: WatchContext
  readonly list: (prefix: string) => Promise<Result<ObjectListing<unknown>, StoreError>>
  readonly listener: (event: WatchEvent<unknown>) => void
}

const log = debug('dotterelspur:platform')

/** Events that are logged because they change whether the store is in contact; object events are too frequent to log. */
const CONTACT_CHANGES: ReadonlySet<WatchEventKind> = new Set([WatchEventKind.Connected, WatchEventKind.Disconnected])

/** Thrown by the effect handlers to end the procedure once the watch is stopped. */
class WatchStoppedError extends Error {}

/** Runs one watch until its teardown is called. */
export class PlatformWatch {
  private stopped = false
  private stream: AbortController | undefined
  private reader: LineReader | undefined
  private onSilent: () => void = () => {}

  constructor (private readonly options: PlatformWatchOptions) {}

  start (): Teardown {
    this.run()
    return () => {
      this.stopped = true
      this.closeStream()
    }
  }

  private async run (): Promise<void> {
    const { options } = this
    try {
      await runProcedure<WatchEffect, never>(watchProcedure(options.prefix, options.context), {
        [WatchEffectKind.List]: async ({ prefix }) => await this.unlessStopped(options.list(prefix)),
        [WatchEffectKind.Open]: async ({ prefix, afterVersion }) => await this.unlessStopped(this.open(prefix, afterVersion)),
        [WatchEffectKind.NextLine]: async ({ timeoutMs }) => await this.unlessStopped(this.nextLine(timeoutMs)),
        [WatchEffectKind.Emit]: ({ event }) => {
          if (CONTACT_CHANGES.has(event.kind)) log('watch %s: %s', options.prefix, event.kind)
          options.listener(event)
        },
        [WatchEffectKind.Wait]: async ({ durationMs }) => {
          this.closeStream()
          await this.unlessStopped(sleep(options.context.clock, durationMs))
        }
      })
    } catch (error) {
      this.closeStream()
      if (!(error instanceof WatchStoppedError)) throw error
    }
  }

  private async unlessStopped<Value> (pending: Promise<Value>): Promise<Value> {
    const value = await pending
    if (this.stopped) throw new WatchStoppedError()
    return value
  }

  private async open (prefix: string, afterVersion: number): Promise<boolean> {
    const { transport, budget, context } = this.options
    if (budget.acquire(CallKind.Watch) > 0) return false
    const stream = new AbortController()
    const { connections } = transport
    this.onSilent = () => { transport.renewConnections(connections) }
    const cancel = context.clock.registerTimer(context.silenceMs, () => {
      stream.abort()
      this.onSilent()
    })
    this.stream = stream
    budget.recordWatchStart()
    try {
      const response = await transport.openStream(watchPath(prefix, afterVersion), stream.signal)
      if (response.statusCode !== ResponseStatus.Ok) throw new Error(`status ${response.statusCode}`)
      this.reader = new LineReader(response.body, context.clock, MAXIMUM_RESPONSE_BYTES)
      return true
    } catch {
      this.closeStream()
      return false
    } finally {
      cancel()
    }
  }

  private async nextLine (timeoutMs: number): Promise<WatchLine> {
    if (this.reader === undefined) return { kind: WatchLineKind.Closed }
    const line = await this.reader.next(timeoutMs)
    if (line.kind === WatchLineKind.Silent) this.onSilent()
    if (line.kind === WatchLineKind.Event || line.kind === WatchLineKind.Heartbeat) this.options.transport.notifyContact()
    return line
  }

  private closeStream (): void {
    if (this.stream === undefined) return
    this.options.budget.recordWatchEnd()
    this.stream.abort()
    this.stream = undefined
    this.reader = undefined
  }
}
