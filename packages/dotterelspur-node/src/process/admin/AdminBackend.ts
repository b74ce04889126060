import type { ListenerGuard } from 'dotterelspur-listener'
import type { AuditRecord, Clock, ExplainPort, MeshApi, ObjectStore, VmDirectory } from 'dotterelspur'
import type { MetricsAccess } from 'dotterelspur-settings'
import type { Registry } from 'prom-client'

/** Whether the node accepts new work, and if not, the reason. */
export interface Readiness {
  readonly ready: boolean
  readonly reason: string
}

/** The parts of the node that the operators' listener uses. */
export interface AdminBackend {
  readonly clock: Clock
  readonly store: ObjectStore
  readonly mesh: MeshApi
  readonly vms: VmDirectory
  readonly explain: ExplainPort
  readonly metrics: Registry
  /** Queues an audit record that could not be written to the store immediately. */
  readonly audit: (record: AuditRecord) => void
  readonly readiness: () => Readiness
  /** Starts the drain of this process. Works without the store. */
  readonly drainSelf: (reason: string) => void
}

export interface AdminServerOptions {
  readonly host: string
  /** 0 lets the operating system assign a port. */
  readonly port: number
  /** SHA-256 of the token of the fleet's operators. */
  readonly tokenHash: string
  readonly metricsAccess: MetricsAccess
  readonly maxConnections: number
  /** Bounds what clients make the process hold, together with those of its other listeners. */
  readonly guard?: ListenerGuard
  /** A group whose presence evidence is this old or older is not shown as serving. */
  readonly evidenceTtlMs: number
}

/** The running operators' listener. */
export interface AdminServer {
  /** Base URL, with the port that was assigned. */
  readonly address: string
  close (): Promise<void>
}
