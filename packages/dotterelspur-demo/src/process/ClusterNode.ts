import type { NodePlan } from './ClusterLayout.js'
import type { NodeProcess } from './NodeProcess.js'

/** A node of the cluster, with its process and its URLs. */
export interface ClusterNode {
  readonly plan: NodePlan
  readonly process: NodeProcess
  readonly entry: string
  readonly admin: string
  /** Base URL of the listener for other nodes, without the relay. */
  readonly mesh: string
  setIsolated (isolated: boolean): void
}
