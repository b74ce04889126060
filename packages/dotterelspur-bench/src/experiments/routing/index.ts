import type { Experiment } from '../../process/Experiment.js'
import { PolicyKind } from './Policy.js'
import { fullPoints, runRoutingExperiment } from './RoutingExperiment.js'
import { DEFAULT_RUN } from './RoutingRun.js'
import { routingFindings } from './routingFindings.js'

const QUICK_DURATION_MS = 45_000

/** `experiment routing`: where requests run, against simpler ways and against oracles. */
export const routingExperiment: Experiment = {
  name: 'routing',
  summary: 'where requests run, over load, age of load readings, a straggler and a dead group',
  run: async ({ seeds, quick, progress }) => routingFindings(runRoutingExperiment({
    points: quick ? fullPoints().filter((point) => point.load === 0.9) : fullPoints(),
    policies: Object.values(PolicyKind),
    seeds,
    durationMs: quick ? QUICK_DURATION_MS : DEFAULT_RUN.durationMs,
    routing: {},
    progress
  }))
}
