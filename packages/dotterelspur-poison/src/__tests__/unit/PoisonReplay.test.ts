import { expect } from 'chai'
import { createRandom } from 'dotterelspur'
import { PoisonReplay } from '../fixtures/PoisonReplay.js'
import type { PoisonScenario } from '../fixtures/PoisonScenario.js'

/** Dispatches that may follow long after the third termination, over a whole run. */
const MAX_LATE_SENDS = 3
/** Share of the answers without a poison request that the usual callers must still get with one. */
const MIN_SERVED_SHARE = 0.9
const DURATION_MS = 20_000
/** From then on a request that arrives once a second has been detected. */
const DETECTED_AFTER_MS = 5_000
const SEEDS = [1, 2, 3, 4]

const QUIET: PoisonScenario = {
  nodes: 8, endpoints: 20, poisons: 0, poisonsPerSecond: 0, usualPerSecond: 60, usualFromMs: 0, popularShare: 0.02, chapters: 0, guiltyParts: 0, guiltyPerSecond: 0, crashesPerSecond: 0, domainCrashesPerSecond: 0, lostMessageShare: 0, failoversAtMs: [], restartsAtMs: []
}

const POISON_SCENARIOS: ReadonlyArray<readonly [string, Partial<PoisonScenario>]> = [
  ['a poison request that arrives once a second', { poisons: 1, poisonsPerSecond: 1 }],
  ['a poison request that arrives five times a second', { poisons: 1, poisonsPerSecond: 5 }],
  ['a poison request that arrives fifty times a second', { poisons: 1, poisonsPerSecond: 50 }],
  ['twenty different poison requests', { poisons: 20, poisonsPerSecond: 2 }]
]

const FAULTS: ReadonlyArray<readonly [string, Partial<PoisonScenario>]> = [
  ['no other faults', {}],
  ['a third of the messages lost', { lostMessageShare: 0.3 }],
  ['the coordinator lost twice', { failoversAtMs: [1_000, 6_000] }],
  ['all nodes killed three times', { restartsAtMs: [2_000, 5_000, 11_000] }],
  ['an endpoint crashing each second', { crashesPerSecond: 1 }]
]

function replay (changes: Partial<PoisonScenario>, seed: number, durationMs = DURATION_MS): PoisonReplay {
  const run = new PoisonReplay({ ...QUIET, ...changes }, createRandom(seed))
  run.run(durationMs)
  return run
}

describe('PoisonReplay', () => {
  for (const [poison, poisons] of POISON_SCENARIOS) {
    for (const [fault, faults] of FAULTS) {
      it(`keeps ${poison} from endpoints with ${fault}`, () => {
        for (const seed of SEEDS) {
          const { tallies } = replay({ ...poisons, ...faults }, seed)
          for (const { lateSends } of tallies.values()) expect(lateSends, `seed ${seed}`).to.be.at.most(MAX_LATE_SENDS)
        }
      })
    }

    it(`serves the usual callers beside ${poison}`, () => {
      for (const seed of SEEDS) {
        const withPoison = replay(poisons, seed, DETECTED_AFTER_MS)
        const before = withPoison.usualServed
        withPoison.run(DURATION_MS - DETECTED_AFTER_MS)
        const without = replay({}, seed, DETECTED_AFTER_MS)
        const withoutBefore = without.usualServed
        without.run(DURATION_MS - DETECTED_AFTER_MS)
        expect(withPoison.usualServed - before, `seed ${seed}`).to.be.at.least(MIN_SERVED_SHARE * (without.usualServed - withoutBefore))
        expect(withPoison.usualQuarantined + withPoison.usualDeferred, `seed ${seed}`).to.equal(0)
      }
    })
  }

  for (const [name, changes] of [
    ['rolling crashes each second', { crashesPerSecond: 1 }],
    ['whole domains that crash', { domainCrashesPerSecond: 0.4 }],
    ['crashes beside real poison requests', { crashesPerSecond: 0.5, domainCrashesPerSecond: 0.1, poisons: 3, poisonsPerSecond: 3 }],
    ['crashes while one request in four is the same', { crashesPerSecond: 1, domainCrashesPerSecond: 0.2, popularShare: 0.25 }]
  ] as const) {
    it(`quarantines none of ten thousand harmless requests, under ${name}`, () => {
      const run = replay({ ...changes, usualPerSecond: 100 }, 5, 100_000)
      expect(run.usualServed + run.usualFailed).to.be.at.least(9_000)
      expect(run.usualQuarantined + run.usualDeferred).to.equal(0)
    }).timeout(60_000)
  }
})
