import type { EndpointId, FabricDomainId, ModelId } from '../../process/ids.js'
import type { ModelSpec } from '../manifest/Manifest.js'
import type { EndpointRecord } from './Endpoint.js'
import type { FormationPlan } from './FormationProcedures.js'

export enum FormationDecisionKind {
  /** Form a group. */
  Form = 'form',
  /** Put a model on a host, so that a later join is short. */
  Stage = 'stage'
}

export type FormationDecision =
  | { readonly kind: FormationDecisionKind.Form, readonly plan: FormationPlan }
  | { readonly kind: FormationDecisionKind.Stage, readonly endpoint: EndpointId, readonly model: ModelId }

/** A group that a plan under way will add. */
export interface FormingGroup {
  readonly model: ModelId
  readonly fabricDomain: FabricDomainId
}

/** What one look at the fleet decides from. */
export interface FormationInput {
  /** Listed endpoints of one service. */
  readonly endpoints: readonly EndpointRecord[]
  /** Listed, but they do not answer. */
  readonly unreachable: ReadonlySet<EndpointId>
  /** Heads that are not listed any more and still answer, by formation. */
  readonly unlistedHeads: ReadonlyMap<string, EndpointId>
  /** Endpoints that a plan under way needs. */
  readonly engaged: ReadonlySet<EndpointId>
  /** Groups that plans under way will add. */
  readonly forming: readonly FormingGroup[]
  readonly models: readonly ModelSpec[]
  /** Group time that callers ask for, by model; only the ratios count. */
  readonly demand: ReadonlyMap<ModelId, number>
  /** The most endpoints seen at once: what the target is made of, so that losses are made good from standbys. */
  readonly peakEndpoints: number
  /** Hosts whose load of a model is under way, and the model. */
  readonly loading: ReadonlyMap<EndpointId, ModelId>
  /** Loads from the weight store that may begin now. */
  readonly loadAllowance: number
  /** Whether a group may be formed of endpoints that must load first, as before the first request. */
  readonly mayLoadToForm: boolean
  /** No endpoint has appeared for a while. */
  readonly isFleetStable: boolean
  /** Gives a formation number above all that any endpoint has seen. */
  readonly nextFormation: () => number
}
