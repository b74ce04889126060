import type { EndpointId, FabricDomainId, ModelId } from '../../process/ids.js'
import type { ModelSpec } from '../manifest/Manifest.js'
import type { EndpointRecord } from './Endpoint.js'
import type { FormationPlan } from './FormationProcedures.js'

export enum FormationDecisionKind {
  Form = 'form',
  /** Load a model onto a host, so that a later join needs no load from the weight store. */
  Stage = 'stage'
}

export type FormationDecision =
  | { readonly kind: FormationDecisionKind.Form, readonly plan: FormationPlan }
  | { readonly kind: FormationDecisionKind.Stage, readonly endpoint: EndpointId, readonly model: ModelId }

/** A group that a formation in progress will add. */
export interface FormingGroup {
  readonly model: ModelId
  readonly fabricDomain: FabricDomainId
}

/** Input of one planning pass over a service's endpoints. */
export interface FormationInput {
  /** Listed endpoints of one service. */
  readonly endpoints: readonly EndpointRecord[]
  /** Listed endpoints that are lost. */
  readonly unreachable: ReadonlySet<EndpointId>
  /** Endpoints that accept connections and answer nothing. They get no orders, and groups that are complete with them stay whole. */
  readonly unresponsive: ReadonlySet<EndpointId>
  /** Heads that are no longer listed but still respond, by formation key. */
  readonly unlistedHeads: ReadonlyMap<string, EndpointId>
  /** Endpoints in use by a formation in progress. */
  readonly engaged: ReadonlySet<EndpointId>
  /** Groups that formations in progress will add. */
  readonly forming: readonly FormingGroup[]
  readonly models: readonly ModelSpec[]
  /** Group time that callers' requests need, by model; only the ratios count. */
  readonly demand: ReadonlyMap<ModelId, number>
  /** Highest number of endpoints listed at once. Targets derive from it, so that they do not shrink when endpoints are lost. */
  readonly peakEndpoints: number
  /** Hosts that are loading a model from the weight store, with the model. */
  readonly loading: ReadonlyMap<EndpointId, ModelId>
  /** Number of loads from the weight store that may begin now. */
  readonly loadAllowance: number
  /** Whether a group may be formed from endpoints that must load the model first; true before the first request. */
  readonly mayLoadToForm: boolean
  /** No endpoint has appeared recently. */
  readonly isFleetStable: boolean
  /** Returns a formation number higher than any that an endpoint has received. */
  readonly nextFormation: () => number
}
