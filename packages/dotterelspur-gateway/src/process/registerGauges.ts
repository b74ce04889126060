import { ShedReason } from 'dotterelspur'
import type { ListenerGuard } from 'dotterelspur-listener'
import type { CallerListener } from '../connection/CallerListener.js'
import type { PeerLinks } from '../connection/PeerLinks.js'
import type { RelayServer } from '../connection/RelayServer.js'
import type { BudgetMembership } from './BudgetMembership.js'
import type { DecisionLog } from './DecisionLog.js'
import type { Dispatch } from './Dispatch.js'
import type { EndpointRegistry } from './EndpointRegistry.js'
import type { FleetLease } from './FleetLease.js'
import type { FollowedStore } from './FollowedStore.js'
import type { GatewayMetrics } from './GatewayMetrics.js'
import type { LoopMonitor } from './LoopMonitor.js'
import { MANIFEST_PREFIX, type ManifestFollower } from './ManifestFollower.js'
import type { NodeRegistry } from './NodeRegistry.js'
import type { PoisonTracker } from './PoisonTracker.js'

export interface GaugeSources {
  readonly callers: CallerListener
  readonly manifest: ManifestFollower
  readonly peers: PeerLinks
  readonly endpoints: EndpointRegistry
  readonly nodes: NodeRegistry
  readonly lease: FleetLease
  readonly store: FollowedStore
  readonly poison: PoisonTracker
  readonly dispatch: Dispatch
  readonly relays: RelayServer
  readonly budget: BudgetMembership
  readonly log: DecisionLog
  readonly loop: LoopMonitor
  readonly guard: ListenerGuard
}

/** Registers the gauges that are read at each scrape. */
export function registerGauges (metrics: GatewayMetrics, { callers, manifest, peers, endpoints, nodes, lease, store, poison, dispatch, relays, budget, log, loop, guard }: GaugeSources): void {
  metrics.gauge('running_requests', 'Requests under way', () => callers.runningRequests)
  metrics.gauge('waiting_requests', 'Requests that wait for an endpoint\'s next token', () => callers.waitingRequests)
  metrics.gauge('body_bytes', 'Bytes of the bodies of requests under way', () => callers.bodies.sizeBytes)
  metrics.gauge('waiting_bodies', 'Bodies that wait for memory', () => callers.bodies.waitingBodies)
  metrics.gauge('caller_connections', 'Open connections of callers and other nodes, on all listeners', () => guard.load.connections)
  metrics.gauge('caller_held_bytes', 'What callers make this process hold, of `caller_held_limit_bytes`', () => guard.load.heldBytes)
  metrics.gauge('caller_held_limit_bytes', 'What callers together may make this process hold', () => guard.load.limits.heldBytes)
  for (const reason of Object.values(ShedReason)) metrics.gauge(`connections_shed_${reason}`, `Connections closed because of a limit (${reason}), since the start`, () => guard.load.shedCount(reason))
  metrics.gauge('manifest_version', 'Version of the manifest in force', () => manifest.current?.version ?? 0)
  metrics.gauge('manifest_view_age_ms', 'Time for which the manifest may have changed without this node knowing', () => store.viewAgeMs(MANIFEST_PREFIX))
  metrics.gauge('peer_state_late_ms', 'How late the deciding node\'s last state was at most', () => peers.lateness.lastMs)
  metrics.gauge('endpoints', 'Endpoints on the list', () => endpoints.current.size)
  metrics.gauge('nodes', 'Nodes on the list', () => nodes.nodes().length)
  metrics.gauge('decides', '1 while this node holds the lease', () => Number(lease.mayOrder()))
  metrics.gauge('told_by_decider', '1 while the deciding node tells all that the store would', () => Number(store.isCoveredByFeed))
  metrics.gauge('quarantined_requests', 'Requests that end endpoints and are sent nowhere', () => poison.guard.ledger.quarantined.size)
  metrics.gauge('suspected_requests', 'Requests that one more end of an endpoint would put in quarantine', () => poison.guard.ledger.suspected.length)
  metrics.gauge('unconnected_endpoints', 'Endpoints to which this node\'s last connection attempt failed', () => dispatch.links.connector.unconnectedEndpoints)
  metrics.gauge('cut_off', '1 while this node connects to no endpoint itself, though other nodes do', () => Number(dispatch.links.connector.isCutOff))
  metrics.gauge('relayed_endpoints', 'Endpoints that only other nodes reach, and to which they relay this node\'s connections', () => dispatch.links.connector.relayedEndpoints)
  metrics.gauge('relays_open', 'Connections of other nodes to endpoints that this node relays', () => relays.size)
  metrics.gauge('relays_served', 'Connections of other nodes to endpoints that this node has relayed since the start', () => relays.served)
  metrics.gauge('limited_endpoints', 'Endpoints that named a limit with their last answer to this node', () => dispatch.backpressureLog.limitedEndpoints)
  metrics.gauge('sent_to_limited_endpoints', 'Requests sent to endpoints that had named a limit, since the start', () => dispatch.backpressureLog.sentToLimited)
  metrics.gauge('sent_to_resting_endpoints', 'Requests sent to endpoints that had asked this node for rest, since the start', () => dispatch.backpressureLog.sentDuringBackoff)
  metrics.gauge('returns_scheduled', 'Rejected callers that this node has told when to retry, since the start', () => dispatch.fleetView.returns.scheduledCount)
  metrics.gauge('cold_endpoints', 'Endpoints that are cold and whose service limits the requests to them', () => dispatch.coldEndpoints.coldEndpoints)
  metrics.gauge('sent_to_cold_endpoints', 'Requests sent to cold endpoints, since the start', () => dispatch.coldEndpoints.sentToCold)
  metrics.gauge('invalid_cold_times', 'Cold times that endpoints stated and that are no non-negative number, since the start', () => dispatch.coldEndpoints.invalidColdTimes)
  metrics.gauge('budget_members', 'Nodes among which the budgets that all nodes share are divided', () => budget.memberCount)
  metrics.gauge('budget_part', 'This node\'s part of the budgets that all nodes share, from 0 to 1', () => budget.part)
  metrics.gauge('retries_in_window', 'Retries of this node within the window of the retry budget, of all services', () => dispatch.retriesInWindow)
  metrics.gauge('retries_refused', 'Retries that the retry budget did not allow, since the start', () => dispatch.retryLog.refused)
  metrics.gauge('leaving_endpoints', 'Endpoints that leave, by the list or by their own word', () => [...endpoints.current.values()].filter(({ leaving }) => leaving).length)
  metrics.gauge('evacuated_failure_domains', 'Failure domains that operators have evacuated', () => dispatch.availableEndpoints.evacuatedDomains)
  metrics.gauge('requests_in_evacuated_domains', 'Requests of this node that still run in evacuated failure domains', () => dispatch.availableEndpoints.requestsInEvacuatedDomains)
  metrics.gauge('log_lines_dropped', 'Log lines dropped since the start', () => log.dropped)
  metrics.gauge('loop_holds', 'Times at which the event loop ran no timers for 200 ms or more, since the start', () => loop.holds)
  metrics.gauge('loop_held_ms', 'Sum of the delays of the event loop\'s timers, since the start', () => loop.heldMs)
  metrics.gauge('resident_bytes', 'Resident memory', () => process.memoryUsage.rss())
}
