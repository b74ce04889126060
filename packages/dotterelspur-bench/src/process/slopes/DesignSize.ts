import type { TopologySettings } from './Topology.js'

/** The size that the system is designed for. */
export const DESIGN_TOPOLOGY: TopologySettings = {
  regions: 7, failureDomains: 27, nodes: 330, groups: 131, vmsPerGroup: 16, teams: 40, teamTextBytes: 4_000, changesPerSecond: 0, seed: 1
}
