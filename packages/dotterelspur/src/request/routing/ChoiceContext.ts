import type { Random } from '../../process/Random.js'
import type { Lane } from './Lane.js'
import type { RouteQuery } from './RouteQuery.js'
import type { RoutingOptions } from './RoutingOptions.js'

/** The inputs of one routing choice, besides the candidates. */
export interface ChoiceContext {
  readonly lane: Lane
  readonly query: RouteQuery
  readonly options: RoutingOptions
  readonly nowMs: number
  readonly random: Random
}
