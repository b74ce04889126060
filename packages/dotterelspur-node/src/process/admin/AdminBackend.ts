import type { AuditRecord, Clock, ExplainPort, MeshApi, ObjectStore, VmDirectory } from 'dotterelspur'
import type { MetricsAccess } from 'dotterelspur-settings'
import type { Registry } from 'prom-client'

/** Whether the node takes new work, and if not, why. */
export interface Readiness {
  readonly ready: boolean
  readonly reason: string
}

/** What the operators' listener works on; the node composes it of its parts. */
export interface AdminBackend {
  readonly clock: Clock
  readonly store: ObjectStore
  readonly mesh: MeshApi
  readonly vms: VmDirectory
  readonly explain: ExplainPort
  readonly metrics: Registry
  /** Takes a record that could not be written to the store at once, to be written later. */
  readonly audit: (record: AuditRecord) => void
  readonly readiness: () => Readiness
  /** Starts the graceful stop of this process: what a drain of this node does, also while the store is out. */
  readonly drainSelf: (reason: string) => void
}

export interface AdminServerOptions {
  readonly host: string
  /** 0 for one that the operating system assigns. */
  readonly port: number
  /** SHA-256 of the token of the fleet's operators. */
  readonly tokenHash: string
  readonly metricsAccess: MetricsAccess
  readonly maxConnections: number
  /** Presence evidence older than this serves nothing. */
  readonly evidenceTtlMs: number
}

/** A running listener. */
export interface AdminServer {
  /** Base URL, with the port that was assigned. */
  readonly address: string
  close (): Promise<void>
}
