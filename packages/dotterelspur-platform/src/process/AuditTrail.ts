import { AUDIT_PREFIX, StoreErrorKind, success } from 'dotterelspur'
import type { AuditBatch, AuditRecord, Clock, HomeId, ObjectStore, Result, StoreError, Teardown } from 'dotterelspur'
import debug from 'debug'

export interface AuditTrailOptions {
  readonly store: ObjectStore
  readonly clock: Clock
  /** The writing process, `<node>.<incarnation>`. It is part of the batch keys, so that no other process uses the same ones. */
  readonly home: HomeId
  /** How long records wait before they are written, so that a burst takes one write. */
  readonly batchIntervalMs?: number
  readonly retryIntervalMs?: number
  /** Maximum number of queued records, for example in a store outage; beyond it the oldest are dropped and counted. */
  readonly maximumQueued?: number
}

const DEFAULT_BATCH_INTERVAL_MS = 1_000
const DEFAULT_RETRY_INTERVAL_MS = 5_000
const DEFAULT_MAXIMUM_QUEUED = 5_000
const MAXIMUM_BATCH = 200
const DAY_LENGTH = 10
const BATCH_DIGITS = 6

const log = debug('dotterelspur:audit')

/** A batch with its key. When the outcome of its write is unknown, it is written again under the same key. */
interface PendingBatch {
  readonly key: string
  readonly records: readonly AuditRecord[]
}

/** The UTC day of a wall-clock time, as `YYYY-MM-DD`. */
export function auditDay (wallMs: number): string {
  return new Date(wallMs).toISOString().slice(0, DAY_LENGTH)
}

/**
 * Appends audit records in batches to `audit/<day>/<node>.<incarnation>.<batch>`.
 *
 * Records wait in a bounded queue, so that a store outage neither blocks the fleet nor lets the queue grow without
 * limit. Records dropped from a full queue are counted in `lostRecords`.
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

  /** Writes all queued records immediately, for example at a graceful stop. Returns early when a write fails. */
  async flush (): Promise<void> {
    this.cancelTimer?.()
    this.cancelTimer = undefined
    this.flushing ??= this.writeAll().finally(() => { this.onFlushed() })
    await this.flushing
  }

  /** Schedules a flush for records appended since the last write: no timer was started for them while a flush was running. */
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

  /** Writes a batch; true when it is in the store. The key is unique to this process, so a conflict means that an earlier attempt wrote it. */
  private async write (batch: PendingBatch): Promise<boolean> {
    const result = await this.options.store.create<AuditBatch>(batch.key, { writeToken: '', records: batch.records })
    if (result.ok || result.error.kind === StoreErrorKind.Conflict) return true
    log('batch %s not written, will retry: %s', batch.key, result.error.kind)
    return false
  }
}

/** Reads the records of one day, ordered by time. */
export async function readAuditDay (store: ObjectStore, day: string): Promise<Result<readonly AuditRecord[], StoreError>> {
  const listing = await store.list<AuditBatch>(`${AUDIT_PREFIX}${day}/`)
  if (!listing.ok) return listing
  const records = listing.value.objects.flatMap((object) => object.body.records)
  return success([...records].sort((left, right) => left.atWallMs - right.atWallMs))
}
