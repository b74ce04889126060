import type {
  Clock, ColdBounds, DispatchTarget, EndpointId, FailureDomainId, MachineLimits, NodeId, Random, RequestClass, RetryWindowOptions, Route, Sender, ServiceId
} from 'dotterelspur'
import type { Relay } from '../connection/RelayDialer.js'
import type { Suspicion } from '../connection/PeerFrame.js'
import type { BudgetMembership } from './BudgetMembership.js'
import type { ColdEndpointMonitorParts } from './ColdEndpointMonitor.js'
import type { DecisionLog } from './DecisionLog.js'
import type { EndpointRegistry } from './EndpointRegistry.js'
import type { EvacuationRegistry } from './EvacuationRegistry.js'
import type { CallerHeaders } from './GatewayPorts.js'
import type { ManifestFollower } from './ManifestFollower.js'
import type { ExchangeHandle } from './StallDetector.js'

export interface DispatchParts extends Pick<ColdEndpointMonitorParts, 'hasAllNodes' | 'isListed' | 'nodeView'> {
  readonly clock: Clock
  readonly log: DecisionLog
  readonly random: Random
  readonly node: NodeId
  readonly failureDomain: FailureDomainId
  readonly manifest: ManifestFollower
  readonly endpoints: EndpointRegistry
  /** Absent where no failure domain is ever evacuated. */
  readonly evacuations?: EvacuationRegistry
  readonly retries: RetryWindowOptions
  /** This node's part of the retries that all nodes share. */
  readonly budget: Pick<BudgetMembership, 'part' | 'memberCount'>
  /** Nodes that send requests, including this one; the same array instance until the set changes. */
  readonly senders: () => readonly Sender[]
  /** Nodes that may relay connections to endpoints; the same array instance until the set changes. Absent where none does. */
  readonly relays?: () => readonly Relay[]
  readonly coldBounds?: ColdBounds
  /** What the process may use; by default what the smallest machine has. */
  readonly machine?: MachineLimits
  /** What callers make the process hold; nothing by default. */
  readonly callerBytes?: () => number
  /** Called when a group appears stalled. */
  readonly onSuspect: (head: EndpointId, suspicion: Suspicion) => void
}

export interface DispatchQuery {
  readonly service: ServiceId
  readonly route: Route
  readonly head: CallerHeaders
  readonly requestClass: RequestClass
  readonly excluded: readonly DispatchTarget[]
  readonly leftMs: number
  /** Time that the caller has already waited, before the request arrived at this node and since. */
  readonly elapsedMs: number
}

/** An exchange in progress with an endpoint. */
export interface DispatchExchange extends ExchangeHandle {
  /** Records the arrival of the response's first event. */
  noteFirstEvent (): void
}
