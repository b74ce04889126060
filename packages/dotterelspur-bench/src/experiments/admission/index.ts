import type { Experiment } from '../../process/Experiment.js'
import { admissionFindings } from './admissionFindings.js'

/** `experiment admission`: what is admitted, and when, against simpler ways. */
export const admissionExperiment: Experiment = {
  name: 'admission',
  summary: 'bulk beside interactive, adaptive against fixed limits, team limits over many nodes',
  run: async (options) => admissionFindings(options)
}
