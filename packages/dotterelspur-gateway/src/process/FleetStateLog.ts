import { MemberState, type Clock, type EndpointRecord, type EngineSpec, type FormationPlan, type ModelId, type ServiceId } from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'

/** Interval between summaries by the lease holder. */
const LOG_INTERVAL_MS = 2_000

/** The lease holder's view of one model service. */
export interface FleetState {
  readonly service: ServiceId
  readonly engine: EngineSpec
  readonly endpoints: readonly EndpointRecord[]
  readonly unreachable: number
  readonly unresponsive: number
  /** Endpoints used by a plan in progress. */
  readonly engaged: number
  readonly forming: readonly FormationPlan[]
  /** Group time that callers demand, by model. */
  readonly demand: ReadonlyMap<ModelId, number>
}

/** Logs a periodic summary of the fleet, the first thing to check when a caller was rejected. */
export class FleetStateLog {
  private loggedAtMs = -Infinity

  constructor (private readonly clock: Clock, private readonly log: DecisionLog) {}

  note (state: FleetState): void {
    const nowMs = this.clock.nowMs()
    if (nowMs - this.loggedAtMs < LOG_INTERVAL_MS) return
    this.loggedAtMs = nowMs
    const { service, engine, endpoints, unreachable, unresponsive, engaged } = state
    this.log.write(LogKind.FleetState, {
      service,
      listed: endpoints.length,
      leaving: endpoints.filter(({ leaving }) => leaving).length,
      unreachable,
      unresponsive,
      engaged,
      models: engine.models.map(({ model }) => describeModel(model, state)),
      unstaged: endpoints.filter(({ staged }) => staged.length === 0).length
    })
  }
}

function describeModel (model: ModelId, { endpoints, forming, demand }: FleetState): object {
  return {
    model,
    open: endpoints.filter((record) => record.model === model && isServingHead(record)).length,
    forming: forming.filter((plan) => plan.model === model).length,
    staged: endpoints.filter(({ staged }) => staged.includes(model)).length,
    demand: Math.round(demand.get(model)! * 100) / 100
  }
}

/** Whether the endpoint is a head that accepts requests or still completes some. */
export function isServingHead ({ membership }: EndpointRecord): boolean {
  return membership !== null && membership.rank === 0 && (membership.state === MemberState.Open || membership.state === MemberState.Closing)
}
