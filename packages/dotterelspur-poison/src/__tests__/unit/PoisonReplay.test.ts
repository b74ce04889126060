import { expect } from 'chai'
import { createRandom } from 'dotterelspur'
import { PoisonReplay, type PoisonScenario } from '../fixtures/PoisonReplay.js'

/** Sends that may follow long after the third end, over a whole run. */
const MOST_LATE_SENDS = 3
/** Of what the usual callers get without a poison request, they get this part with one. */
const LEAST_SERVED_SHARE = 0.9
const DURATION_MS = 20_000
/** From then on a request that comes once a second is known. */
const KNOWN_AFTER_MS = 5_000
const SEEDS = [1, 2, 3, 4]

const QUIET: PoisonScenario = {
  nodes: 8, endpoints: 20, poisons: 0, poisonsPerSecond: 0, usualPerSecond: 60, popularShare: 0.02, crashesPerSecond: 0, domainCrashesPerSecond: 0, lostMessageShare: 0, failoversAtMs: [], restartsAtMs: []
}

const CULPRITS: ReadonlyArray<readonly [string, Partial<PoisonScenario>]> = [
  ['one that comes once a second', { poisons: 1, poisonsPerSecond: 1 }],
  ['one that comes five times a second', { poisons: 1, poisonsPerSecond: 5 }],
  ['one that comes fifty times a second', { poisons: 1, poisonsPerSecond: 50 }],
  ['twenty different ones', { poisons: 20, poisonsPerSecond: 2 }]
]

const STRAINS: ReadonlyArray<readonly [string, Partial<PoisonScenario>]> = [
  ['nothing else', {}],
  ['a third of the messages lost', { lostMessageShare: 0.3 }],
  ['the node that adds up lost twice', { failoversAtMs: [1_000, 6_000] }],
  ['all nodes killed three times', { restartsAtMs: [2_000, 5_000, 11_000] }],
  ['an endpoint crashing each second', { crashesPerSecond: 1 }]
]

function replay (changes: Partial<PoisonScenario>, seed: number, durationMs = DURATION_MS): PoisonReplay {
  const run = new PoisonReplay({ ...QUIET, ...changes }, createRandom(seed))
  run.run(durationMs)
  return run
}

describe('PoisonReplay', () => {
  for (const [who, culprits] of CULPRITS) {
    for (const [beside, strain] of STRAINS) {
      it(`keeps ${who} from endpoints, beside ${beside}`, () => {
        for (const seed of SEEDS) {
          const { tallies } = replay({ ...culprits, ...strain }, seed)
          for (const { lateSends } of tallies.values()) expect(lateSends, `seed ${seed}`).to.be.at.most(MOST_LATE_SENDS)
        }
      })
    }

    it(`leaves the usual callers their answers beside ${who}`, () => {
      for (const seed of SEEDS) {
        const beside = replay(culprits, seed, KNOWN_AFTER_MS)
        const before = beside.usualServed
        beside.run(DURATION_MS - KNOWN_AFTER_MS)
        const without = replay({}, seed, KNOWN_AFTER_MS)
        const withoutBefore = without.usualServed
        without.run(DURATION_MS - KNOWN_AFTER_MS)
        expect(beside.usualServed - before, `seed ${seed}`).to.be.at.least(LEAST_SERVED_SHARE * (without.usualServed - withoutBefore))
        expect(beside.usualQuarantined + beside.usualDeferred, `seed ${seed}`).to.equal(0)
      }
    })
  }

  for (const [name, changes] of [
    ['rolling crashes each second', { crashesPerSecond: 1 }],
    ['whole domains that crash', { domainCrashesPerSecond: 0.4 }],
    ['crashes beside true culprits', { crashesPerSecond: 0.5, domainCrashesPerSecond: 0.1, poisons: 3, poisonsPerSecond: 3 }],
    ['crashes while one request in four is the same', { crashesPerSecond: 1, domainCrashesPerSecond: 0.2, popularShare: 0.25 }]
  ] as const) {
    it(`takes none of ten thousand harmless requests for a cause, under ${name}`, () => {
      const run = replay({ ...changes, usualPerSecond: 100 }, 5, 100_000)
      expect(run.usualServed + run.usualFailed).to.be.at.least(9_000)
      expect(run.usualQuarantined + run.usualDeferred).to.equal(0)
    }).timeout(60_000)
  }
})
