import type { Clock, GroupId, RequestId, VmId } from 'dotterelspur'

/** How a run ended, as observed by the stand-in. */
export enum RunEnd {
  Running = 'running',
  Whole = 'whole',
  Cancelled = 'cancelled',
  Died = 'died'
}

/** A run that began at an endpoint. Times are wall-clock milliseconds, comparable with those of a checker. */
export interface LedgerRow {
  readonly requestId: RequestId
  readonly idempotencyKey: string | null
  readonly endpoint: VmId
  readonly group: GroupId | null
  readonly formation: number
  readonly membersUp: number
  readonly membersDue: number
  readonly startedAtMs: number
  readonly endedAtMs: number | null
  readonly end: RunEnd
}

/** The fields that are known when a run begins. */
export type RunStart = Omit<LedgerRow, 'startedAtMs' | 'endedAtMs' | 'end'>

/** Records the end of a run; only the first call counts. */
export type RunCloser = (end: RunEnd) => void

/** All runs that began at stand-in endpoints. Promises are checked against them, independently of what the product reports. */
export class Ledger {
  private readonly entries: LedgerRow[] = []

  constructor (private readonly clock: Clock) {}

  begin (start: RunStart): RunCloser {
    const index = this.entries.length
    this.entries.push({ ...start, startedAtMs: this.clock.wallMs(), endedAtMs: null, end: RunEnd.Running })
    return (end) => { this.close(index, end) }
  }

  rows (): readonly LedgerRow[] {
    return [...this.entries]
  }

  private close (index: number, end: RunEnd): void {
    const row = this.entries[index]!
    if (row.end !== RunEnd.Running) return
    this.entries[index] = { ...row, end, endedAtMs: this.clock.wallMs() }
  }
}
