import { AUDIT_PREFIX, StoreErrorKind, success } from 'dotterelspur'
import type { AuditBatch, AuditRecord, Clock, HomeId, ObjectStore, Result, StoreError, Teardown } from 'dotterelspur'
import debug from 'debug'

export interface AuditTrailOptions {
  readonly store: ObjectStore
  readonly clock: Clock
  /** The writing process, `<node>.<incarnation>`: its batches have names that no other process uses. */
  readonly home: HomeId
  /** Records wait this long, so that a burst costs one write. */
  readonly batchIntervalMs?: number
  readonly retryIntervalMs?: number
  /** Records kept through an outage; beyond it the oldest are dropped and counted. */
  readonly maximumQueued?: number
}

const DEFAULT_BATCH_INTERVAL_MS = 1_000
const DEFAULT_RETRY_INTERVAL_MS = 5_000
const DEFAULT_MAXIMUM_QUEUED = 5_000
const MAXIMUM_BATCH = 200
const DAY_LENGTH = 10
const BATCH_DIGITS = 6

const log = debug('dotterelspur:audit')

/** A batch under its name: a batch whose write is in doubt is written again under the same name. */
interface PendingBatch {
  readonly key: string
  readonly records: readonly AuditRecord[]
}

/** The day of a time, `YYYY-MM-DD` in UTC. */
export function auditDay (wallMs: number): string {
  return new Date(wallMs).toISOString().slice(0, DAY_LENGTH)
}

/**
 * Appends audit records in batches to `audit/<day>/<node>.<incarnation>.<batch>`.
 *
 * A store outage must neither stop the fleet's work nor grow the queue without bound: records wait in a
 * bounded queue, and what didn't fit is counted in `lostRecords`.
 */
export class AuditTrail {
  private queued: AuditRecord[] = []
  private pending: PendingBatch | undefined
  private batch = 0
  private lost = 0
  private cancelTimer: Teardown | undefined
  private flushing: Promise<void> | undefined

  constructor (private readonly options: AuditTrailOptions) {}

  /** Records dropped because the queue was full. */
  get lostRecords (): number {
    return this.lost
  }

  get queuedRecords (): number {
    return this.queued.length + (this.pending?.records.length ?? 0)
  }

  append (record: AuditRecord): void {
    this.queued.push(record)
    if (this.queued.length > (this.options.maximumQueued ?? DEFAULT_MAXIMUM_QUEUED)) {
      this.queued.shift()
      this.lost++
    }
    this.schedule(this.options.batchIntervalMs ?? DEFAULT_BATCH_INTERVAL_MS)
  }

  /** Writes what is queued now; used at a graceful stop. Ends early when the store doesn't take it. */
  async flush (): Promise<void> {
    this.cancelTimer?.()
    this.cancelTimer = undefined
    this.flushing ??= this.writeAll().finally(() => { this.onFlushed() })
    await this.flushing
  }

  /** A record appended between the last write and this point has started no timer of its own. */
  private onFlushed (): void {
    this.flushing = undefined
    if (this.queuedRecords > 0) this.schedule(this.options.batchIntervalMs ?? DEFAULT_BATCH_INTERVAL_MS)
  }

  private schedule (delayMs: number): void {
    if (this.cancelTimer !== undefined || this.flushing !== undefined) return
    this.cancelTimer = this.options.clock.registerTimer(delayMs, () => {
      this.cancelTimer = undefined
      this.flush()
    })
  }

  private async writeAll (): Promise<void> {
    while (this.queuedRecords > 0) {
      this.pending ??= this.nextBatch()
      if (await this.write(this.pending)) {
        this.pending = undefined
        continue
      }
      this.cancelTimer = this.options.clock.registerTimer(this.options.retryIntervalMs ?? DEFAULT_RETRY_INTERVAL_MS, () => {
        this.cancelTimer = undefined
        this.flush()
      })
      return
    }
  }

  private nextBatch (): PendingBatch {
    const day = auditDay(this.queued[0]!.atWallMs)
    const end = this.queued.findIndex((record) => auditDay(record.atWallMs) !== day)
    const records = this.queued.splice(0, Math.min(MAXIMUM_BATCH, end < 0 ? MAXIMUM_BATCH : end))
    const number = String(this.batch++).padStart(BATCH_DIGITS, '0')
    return { records, key: `${AUDIT_PREFIX}${day}/${this.options.home}.${number}` }
  }

  /** Whether the batch is in the store. Its name is this process's own, so a conflict means that it already was. */
  private async write (batch: PendingBatch): Promise<boolean> {
    const result = await this.options.store.create<AuditBatch>(batch.key, { writeToken: '', records: batch.records })
    if (result.ok || result.error.kind === StoreErrorKind.Conflict) return true
    log('batch %s waits: %s', batch.key, result.error.kind)
    return false
  }
}

/** Reads the records of one day, in order of time. */
export async function readAuditDay (store: ObjectStore, day: string): Promise<Result<readonly AuditRecord[], StoreError>> {
  const listing = await store.list<AuditBatch>(`${AUDIT_PREFIX}${day}/`)
  if (!listing.ok) return listing
  const records = listing.value.objects.flatMap((object) => object.body.records)
  return success([...records].sort((left, right) => left.atWallMs - right.atWallMs))
}
