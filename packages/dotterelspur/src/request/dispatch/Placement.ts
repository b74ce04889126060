import type { EndpointId, FailureDomainId, ModelId, ServiceId } from '../../process/ids.js'
import type { Random } from '../../process/Random.js'
import type { EngineSpec } from '../../version/manifest/Manifest.js'
import { firstEventMs, slotHoldMs } from './EngineTimes.js'
import type { TargetLoad } from './TargetLoad.js'

/** An endpoint that takes requests; of a group, its head. */
export interface DispatchTarget {
  readonly endpoint: EndpointId
  readonly service: ServiceId
  readonly address: string
  readonly failureDomain: FailureDomainId
  /** Null for plain services. */
  readonly model: ModelId | null
  readonly slots: number
}

export enum RefusalReason {
  /** No endpoint of the service, or no group of the model, takes requests. */
  NoEndpoint = 'no-endpoint',
  /** All of them are so full that the request would be served too late. */
  Full = 'full'
}

/** Why a request is turned away, and when it is worth coming back. */
export interface PlacementRefusal {
  readonly reason: RefusalReason
  readonly retryAfterMs: number
}

export interface PlacementQuery {
  readonly service: ServiceId
  readonly model: ModelId | null
  readonly promptTokens: number
  /** Time to the first event that is still worth having. */
  readonly patienceMs: number
  readonly excluded: readonly DispatchTarget[]
}

export interface PlacementInput {
  readonly targets: readonly DispatchTarget[]
  /** Null for plain services. */
  readonly engine: EngineSpec | null
  readonly load: TargetLoad
  /** Nodes that send requests, this one included. */
  readonly nodes: number
  readonly ownFailureDomain: FailureDomainId
  readonly random: Random
  readonly nowMs: number
}

/** Another failure domain costs bytes between domains; about a tenth of a usual time to the first event. */
const FOREIGN_DOMAIN_MS = 8
/** All nodes see about the same readings; a little chance keeps them from choosing the same endpoint. */
const SPREAD_MS = 12
/** Cost of an endpoint that failed lately: it is tried when all others would be much later. */
const HELD_OFF_MS = 2_000
/** A group may form, or be mended, within about this time. */
const NO_ENDPOINT_RETRY_MS = 1_000
/** Plain services: waiting requests that an endpoint may have before it is passed over, as a multiple of its slots. */
const PLAIN_QUEUE_FACTOR = 2
/** Plain services say nothing of their times; this orders endpoints by load alone. */
const PLAIN_REQUEST_MS = 60

interface Candidate {
  readonly target: DispatchTarget
  readonly expectedMs: number
  readonly cost: number
}

/** Chooses the endpoint with the shortest expected time, or refuses at once where none is worth waiting for. */
export function place (query: PlacementQuery, input: PlacementInput): DispatchTarget | PlacementRefusal {
  const excluded = new Set(query.excluded.map(({ endpoint }) => endpoint))
  const suitable = input.targets.filter(({ service, model, endpoint }) => service === query.service && model === query.model && !excluded.has(endpoint))
  if (suitable.length === 0) return { reason: RefusalReason.NoEndpoint, retryAfterMs: NO_ENDPOINT_RETRY_MS }
  const candidates = suitable.map((target) => judge(target, query, input))
  const best = candidates.reduce((left, right) => right.cost < left.cost ? right : left)
  if (best.expectedMs <= query.patienceMs) return best.target
  return { reason: RefusalReason.Full, retryAfterMs: returnAfterMs(input) }
}

function judge (target: DispatchTarget, query: PlacementQuery, input: PlacementInput): Candidate {
  const load = input.load.estimate(target.endpoint, input.nodes, input.nowMs)
  const expectedMs = input.engine === null ? plainMs(target, load) : firstEventMs(input.engine, paceOf(input.engine, target), load, query.promptTokens)
  const heldOffMs = input.load.isHeldOff(target.endpoint, input.nowMs) ? HELD_OFF_MS : 0
  const foreignMs = target.failureDomain === input.ownFailureDomain ? 0 : FOREIGN_DOMAIN_MS
  return { target, expectedMs, cost: expectedMs + heldOffMs + foreignMs + SPREAD_MS * input.random.next() }
}

function plainMs (target: DispatchTarget, load: number): number {
  if (load > target.slots * (1 + PLAIN_QUEUE_FACTOR)) return Infinity
  return load / target.slots * PLAIN_REQUEST_MS
}

function paceOf (engine: EngineSpec, target: DispatchTarget): number {
  return engine.models.find(({ model }) => model === target.model)?.pace ?? 1
}

/** A slot of some group is free about this often; callers that come back then find one, spread by chance. */
function returnAfterMs ({ engine, random }: PlacementInput): number {
  const holdMs = engine === null ? PLAIN_REQUEST_MS : slotHoldMs(engine)
  return holdMs * (0.25 + 0.5 * random.next())
}
