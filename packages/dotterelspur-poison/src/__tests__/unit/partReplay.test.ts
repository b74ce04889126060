import { expect } from 'chai'
import { createRandom } from 'dotterelspur'
import { PoisonReplay } from '../fixtures/PoisonReplay.js'
import type { PoisonScenario } from '../fixtures/PoisonScenario.js'

/** Dispatches that may follow later than the detection time after the fifth termination. */
const MAX_LATE_SENDS = 3
/** Share of the sound requests that must be served, of those that are served without guilty ones. */
const MIN_SERVED_SHARE = 0.95
/** By then five terminations have shown what the part does, at most rates some seconds ago. */
const SETTLED_MS = 5_000
const COUNTED_MS = 15_000
const SEEDS = [1]
const TIMEOUT_MS = 60_000

const SOUND: PoisonScenario = {
  nodes: 8, endpoints: 24, poisons: 0, poisonsPerSecond: 0, usualPerSecond: 60, usualFromMs: 0, popularShare: 0, chapters: 10, guiltyParts: 0, guiltyPerSecond: 0, crashesPerSecond: 0, domainCrashesPerSecond: 0, lostMessageShare: 0, failoversAtMs: [], restartsAtMs: []
}

const LOADS: ReadonlyArray<readonly [string, Partial<PoisonScenario>]> = [
  ['one guilty request in five seconds', { guiltyParts: 1, guiltyPerSecond: 0.2 }],
  ['one guilty request a second', { guiltyParts: 1, guiltyPerSecond: 1 }],
  ['five guilty requests a second', { guiltyParts: 1, guiltyPerSecond: 5 }],
  ['twenty guilty requests a second', { guiltyParts: 1, guiltyPerSecond: 20 }],
  ['fifty guilty requests a second', { guiltyParts: 1, guiltyPerSecond: 50 }],
  ['two guilty parts', { guiltyParts: 2, guiltyPerSecond: 4 }],
  ['a guilty part that is always beside the same harmless one', { guiltyParts: 1, guiltyPerSecond: 5, chapters: 1 }],
  ['a guilty part beside one of a thousand others', { guiltyParts: 1, guiltyPerSecond: 5, chapters: 1_000 }],
  ['a guilty part and few sound requests', { guiltyParts: 1, guiltyPerSecond: 5, usualPerSecond: 10 }],
  ['a guilty part before the first sound request', { guiltyParts: 1, guiltyPerSecond: 5, usualFromMs: 5_000 }],
  ['a guilty part at eighty nodes', { guiltyParts: 1, guiltyPerSecond: 10, nodes: 80, endpoints: 160, usualPerSecond: 200 }]
]

const FAULTS: ReadonlyArray<readonly [string, Partial<PoisonScenario>]> = [
  ['no other faults', {}],
  ['a third of the messages lost', { lostMessageShare: 0.3 }],
  ['the coordinator lost twice', { failoversAtMs: [1_000, 6_000] }],
  ['an endpoint crashing each second', { crashesPerSecond: 1 }],
  ['domains that crash', { domainCrashesPerSecond: 0.2 }]
]

interface Outcome {
  readonly run: PoisonReplay
  /** Share of the sound requests served, of those that ended in the last phase. */
  readonly servedShare: number
}

/** Sound requests that were served, failed, or were refused. */
function endedOf ({ usualServed, usualFailed, usualQuarantined, usualDeferred }: PoisonReplay): number {
  return usualServed + usualFailed + usualQuarantined + usualDeferred
}

/** Runs until the part could be known, for a while, and then for the phase in which sound requests are counted. */
function replay (changes: Partial<PoisonScenario>, seed: number): Outcome {
  const run = new PoisonReplay({ ...SOUND, ...changes }, createRandom(seed))
  run.run(SETTLED_MS)
  const before = { ended: endedOf(run), served: run.usualServed }
  run.run(COUNTED_MS)
  return { run, servedShare: (run.usualServed - before.served) / (endedOf(run) - before.ended) }
}

describe('A guilty part of prompts, replayed', function () {
  this.timeout(TIMEOUT_MS)

  for (const [load, guilty] of LOADS) {
    for (const [fault, faults] of FAULTS) {
      it(`is kept from endpoints, and no sound request refused, with ${load} and ${fault}`, () => {
        for (const seed of SEEDS) {
          const { run, servedShare } = replay({ ...guilty, ...faults }, seed)
          for (const { lateSends } of run.tallies.values()) expect(lateSends, `late sends, seed ${seed}`).to.be.at.most(MAX_LATE_SENDS)
          expect(run.usualQuarantined, `sound requests refused, seed ${seed}`).to.equal(0)
          const without = replay({ ...guilty, ...faults, guiltyParts: 0 }, seed)
          expect(servedShare, `served, seed ${seed}`).to.be.at.least(MIN_SERVED_SHARE * without.servedShare)
        }
      })
    }
  }
})
