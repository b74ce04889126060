import type { LedgerRow } from 'dotterelspur-testkit'
import type { CallRecord } from '../../request/CallRecord.js'
import type { FaultTargetKind } from './FaultSchedule.js'

/** Everything that the checks look at. Times are wall-clock milliseconds of one machine. */
export interface SoakEvidence {
  readonly calls: readonly CallRecord[]
  readonly ledger: readonly LedgerRow[]
  readonly events: readonly FaultEvent[]
  readonly vms: readonly VmPlacement[]
  /** Groups as nodes gave them, sampled all the time. */
  readonly groupSamples: readonly GroupSample[]
  readonly versionSamples: readonly VersionSample[]
  /** Base URL of each node, by index. */
  readonly entries: readonly string[]
}

/** One order to the control address, as it was given. */
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
  /** Index of the node that was asked. */
  readonly node: number
  readonly fabricDomain: string
  readonly group: string
  readonly formation: number
  readonly members: readonly string[]
}

/** The version of a team's settings that a node's process says it holds. */
export interface VersionSample {
  readonly atMs: number
  readonly node: number
  readonly team: string
  readonly version: number
}

/** Something promised that did not hold. */
export interface Violation {
  readonly promise: string
  readonly atMs: number
  readonly detail: string
}
