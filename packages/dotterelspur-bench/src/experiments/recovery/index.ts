import type { Experiment } from '../../process/Experiment.js'
import { recoveryFindings } from './recoveryFindings.js'
import { runRecovery } from './RecoveryRun.js'

/** `experiment recovery`: times from a fault to the next step, on real processes over loopback. */
export const recoveryExperiment: Experiment = {
  name: 'recovery',
  summary: 'VM killed to not dispatched and to serving again, lease holder killed or drained to the next deciding, on real processes',
  run: async ({ seeds, quick, progress }) => {
    const rounds = []
    for (const seed of quick ? seeds.slice(0, 1) : seeds) {
      progress(`cluster with seed ${seed}`)
      rounds.push(await runRecovery(seed))
    }
    return recoveryFindings(rounds)
  }
}
