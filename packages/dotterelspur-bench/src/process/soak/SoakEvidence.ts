import type { LedgerRow } from 'dotterelspur-testkit'
import type { CallRecord } from '../../request/CallRecord.js'
import type { FaultTargetKind } from './FaultSchedule.js'

/** The observations on which the checks are based. Times are wall-clock milliseconds of one machine. */
export interface SoakEvidence {
  readonly calls: readonly CallRecord[]
  readonly ledger: readonly LedgerRow[]
  readonly events: readonly FaultEvent[]
  readonly vms: readonly VmPlacement[]
  /** Samples of the groups that nodes reported. */
  readonly groupSamples: readonly GroupSample[]
  readonly versionSamples: readonly VersionSample[]
  /** Base URL of each node, by index. */
  readonly entries: readonly string[]
}

/** A call to the control server, with the time at which it was made. */
export interface FaultEvent {
  readonly atMs: number
  readonly targetKind: FaultTargetKind
  readonly target: string
  readonly kind: string
  readonly delayMs?: number
}

export interface VmPlacement {
  readonly vm: string
  readonly fabricDomain: string
}

export interface GroupSample {
  readonly atMs: number
  /** Index of the node that reported. */
  readonly node: number
  readonly fabricDomain: string
  readonly group: string
  readonly formation: number
  readonly members: readonly string[]
}

/** The version of a team's settings that a node's process reports. */
export interface VersionSample {
  readonly atMs: number
  readonly node: number
  readonly team: string
  readonly version: number
}

/** A promise that was broken. */
export interface Violation {
  readonly promise: string
  readonly atMs: number
  readonly detail: string
}
