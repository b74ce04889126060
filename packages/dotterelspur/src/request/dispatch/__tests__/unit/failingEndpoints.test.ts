import { expect } from 'chai'
import { ExchangeEnd } from '../../ExchangeEnd.js'
import { FaultReplay, type FaultReplayOptions } from '../fixtures/FaultReplay.js'

const SEEDS = [1, 2, 3]
const FAULT_MS = 10_000
/** After this time the endpoint receives its part again. */
const RECOVERY_MS = 9_000
const FAULTY = ['e0']

const FAULT = { endpoints: FAULTY, end: ExchangeEnd.Garbled, share: 1, fromMs: 0, untilMs: FAULT_MS }
const HEADS: FaultReplayOptions = { seed: 1, nodes: 3, endpoints: 2, areHeads: true, load: 0.4, durationMs: FAULT_MS + RECOVERY_MS + 6_000, attempts: 1, faults: [FAULT] }

const FLEETS: ReadonlyArray<{ readonly name: string, readonly options: Partial<FaultReplayOptions> }> = [
  { name: 'two heads of a model, 3 nodes', options: {} },
  { name: 'two heads of a model, nodes that share nothing', options: { sharesObservations: false } },
  { name: 'three endpoints of a plain service, 3 nodes', options: { areHeads: false, endpoints: 3, load: 0.1 } },
  { name: 'ten heads, 3 nodes', options: { endpoints: 10 } },
  { name: 'ten heads, 330 nodes', options: { endpoints: 10, nodes: 330 } },
  { name: 'thirty heads, 330 nodes', options: { endpoints: 30, nodes: 330 } }
]

/** Means over the seeds. */
function replay (changes: Partial<FaultReplayOptions>, fromMs: number, untilMs: number): { readonly toFaulty: number, readonly failed: number, readonly refused: number } {
  const replays = SEEDS.map((seed) => {
    const replay = new FaultReplay({ ...HEADS, ...changes, seed })
    return { outcome: replay.run(), toFaulty: replay.shareSentTo(FAULTY, fromMs, untilMs) }
  })
  const asked = replays.reduce((sum, { outcome }) => sum + outcome.asked, 0)
  return {
    toFaulty: replays.reduce((sum, { toFaulty }) => sum + toFaulty, 0) / replays.length,
    failed: replays.reduce((sum, { outcome }) => sum + outcome.failed, 0) / asked,
    refused: replays.reduce((sum, { outcome }) => sum + outcome.refused, 0) / asked
  }
}

describe('An endpoint that fails requests at once, replayed', () => {
  for (const { name, options } of FLEETS) {
    const evenShare = 1 / (options.endpoints ?? HEADS.endpoints)

    // Guards against an endpoint that is free at once because it fails, and draws the requests of all nodes.
    it(`receives less than half of an even share, and its part once it works again: ${name}`, () => {
      const weighed = new FaultReplay({ ...HEADS, ...options })
      weighed.run()
      expect(weighed.shareSentTo(FAULTY, 0, FAULT_MS)).to.be.within(0, evenShare / 2)
      expect(weighed.shareSentTo(FAULTY, FAULT_MS + RECOVERY_MS)).to.be.greaterThan(evenShare * 0.6)
      expect(replay({ ...options, durationMs: FAULT_MS, weighsFailures: false }, 0, FAULT_MS).toFaulty).to.be.greaterThan(evenShare / 2)
    })
  }

  it('receives the same small share with 3 and with 330 nodes', () => {
    const [few, many] = [3, 330].map((nodes) => replay({ endpoints: 10, nodes }, 0, FAULT_MS).toFaulty)
    expect(Math.abs(few! - many!)).to.be.lessThan(0.02)
  })

  it('receives less also where the aggregating node is of the previous build', () => {
    const options = { endpoints: 10, sharesFailures: false }
    expect(replay(options, 0, FAULT_MS).toFaulty).to.be.lessThan(replay({ ...options, weighsFailures: false }, 0, FAULT_MS).toFaulty / 2)
  })

  it('is passed over for the one that works, where most endpoints fail', () => {
    const options = { endpoints: 3, load: 0.25, faults: [{ ...FAULT, endpoints: ['e0', 'e1'] }], durationMs: FAULT_MS }
    for (const attempts of [1, 2]) expect(replay({ ...options, attempts }, 0, FAULT_MS).failed).to.be.lessThan(replay({ ...options, attempts, weighsFailures: false }, 0, FAULT_MS).failed / 2)
  })

  // Guards against capacity that is given up: an endpoint that fails some requests still answers the others.
  it('is used when all others queue, if it answers half of its requests', () => {
    const options = { endpoints: 12, nodes: 8, load: 0.9, faults: [{ ...FAULT, share: 0.5, end: ExchangeEnd.Failed }], durationMs: FAULT_MS }
    const [weighed, ignored] = [replay(options, 0, FAULT_MS), replay({ ...options, weighsFailures: false }, 0, FAULT_MS)]
    expect(weighed.failed).to.be.lessThan(ignored.failed)
    expect(weighed.refused).to.be.lessThan(0.01)
  })

  it('stays in use where all endpoints fail alike', () => {
    const options = { endpoints: 3, load: 0.25, faults: [{ ...FAULT, endpoints: ['e0', 'e1', 'e2'] }], durationMs: FAULT_MS }
    expect(replay(options, 0, FAULT_MS).refused).to.equal(0)
    expect(replay(options, 0, FAULT_MS).toFaulty).to.be.within(0.2, 0.47)
  })

  it('receives its part where only requests are bad', () => {
    for (const attempts of [1, 2]) {
      const { toFaulty, refused } = replay({ endpoints: 6, faults: [], badShare: 0.1, attempts }, 0, Infinity)
      expect(toFaulty).to.be.within(0.12, 0.21)
      expect(refused).to.equal(0)
    }
  })

  // Guards against a change of decisions where no endpoint fails.
  it('leaves each decision as it is while all endpoints work', () => {
    for (const areHeads of [true, false]) {
      for (const load of [0.5, 1.1]) {
        const [weighed, ignored] = [true, false].map((weighsFailures) => {
          const decisions: string[] = []
          new FaultReplay({ ...HEADS, areHeads, load, nodes: 8, endpoints: 6, durationMs: 3_000, faults: [], weighsFailures, onDecision: (decision) => { decisions.push(decision) } }).run()
          return decisions
        })
        expect(weighed!.length).to.be.greaterThan(100)
        expect(weighed).to.deep.equal(ignored)
      }
    }
  })
})
