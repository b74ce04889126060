import { admissionExperiment } from '../experiments/admission/index.js'
import { atMostOnceExperiment } from '../experiments/at-most-once/index.js'
import { meshExperiment } from '../experiments/mesh/index.js'
import { recoveryExperiment } from '../experiments/recovery/index.js'
import { repairExperiment } from '../experiments/repair/index.js'
import { routingExperiment } from '../experiments/routing/index.js'
import type { Experiment } from './Experiment.js'

/** All experiments, by name. A new one adds its folder under `src/experiments/` and one line here. */
const EXPERIMENTS: readonly Experiment[] = [
  admissionExperiment,
  routingExperiment,
  repairExperiment,
  atMostOnceExperiment,
  recoveryExperiment,
  meshExperiment
]

export function findExperiment (name: string): Experiment | undefined {
  return EXPERIMENTS.find((experiment) => experiment.name === name)
}

export function listExperiments (): readonly Experiment[] {
  return EXPERIMENTS
}
