import type { NodePlan } from './ClusterLayout.js'
import type { NodeProcess } from './NodeProcess.js'

/** One node of the cluster and what the demo can do to it. */
export interface ClusterNode {
  readonly plan: NodePlan
  readonly process: NodeProcess
  readonly entry: string
  readonly admin: string
  setIsolated (isolated: boolean): void
}
