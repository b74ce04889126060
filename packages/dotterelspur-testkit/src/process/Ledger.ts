import type { Clock, GroupId, RequestId, VmId } from 'dotterelspur'

/** How a run ended, as the stand-in itself saw it. */
export enum RunEnd {
  Running = 'running',
  Whole = 'whole',
  Cancelled = 'cancelled',
  Died = 'died'
}

/** One run that began at an endpoint. Times are wall-clock milliseconds, to be compared with a checker's own. */
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

/** What a stand-in says of a run that begins. */
export type RunStart = Omit<LedgerRow, 'startedAtMs' | 'endedAtMs' | 'end'>

/** Ends a run in the ledger. Only the first end counts. */
export type RunCloser = (end: RunEnd) => void

/** Every run that began at any stand-in endpoint: what promises are checked against, without the product's word. */
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
