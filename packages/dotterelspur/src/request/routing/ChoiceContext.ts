import type { Random } from '../../process/Random.js'
import type { Lane } from './Lane.js'
import type { RouteQuery } from './RouteQuery.js'
import type { RoutingOptions } from './RoutingOptions.js'
import type { TargetId } from './RouteTarget.js'

/** The inputs of one routing choice, besides the candidates. */
export interface ChoiceContext {
  readonly lane: Lane
  readonly query: RouteQuery
  readonly options: RoutingOptions
  /** By how much more often a target reports failed requests than the others, from 0 to 1; empty where none does. */
  readonly failureShares: ReadonlyMap<TargetId, number>
  readonly nowMs: number
  readonly random: Random
}
