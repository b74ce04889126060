import { expect } from 'chai'
import fc from 'fast-check'
import { OutcomeKind, RequestSafety } from '../../../../index.js'
import { AtMostOnceSimulation, Fault } from '../fixtures/AtMostOnceSimulation.js'

const SEED = 20_261_202
const RUNS = 3_000

type Step = (simulation: AtMostOnceSimulation) => void

const pick = fc.nat({ max: 50 })
const fault = fc.constantFrom(...Object.values(Fault))
const rarely = fc.nat({ max: 4 }).map((value) => value === 0)
const safety = fc.constantFrom(...Object.values(RequestSafety))

/** One step of the simulation; the weights let runs make progress in spite of frequent faults. */
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 8, arbitrary: fc.tuple(pick, safety, fc.boolean()).map(([p, s, numbered]): Step => (simulation) => { simulation.submitNew(p, s, numbered) }) },
  { weight: 10, arbitrary: pick.map((p): Step => (simulation) => { simulation.submitAgain(p) }) },
  { weight: 16, arbitrary: fc.tuple(pick, fc.boolean(), rarely).map(([p, duplicated, refused]): Step => (simulation) => { simulation.deliverSubmission(p, duplicated, refused) }) },
  { weight: 1, arbitrary: pick.map((p): Step => (simulation) => { simulation.dropSubmission(p) }) },
  { weight: 24, arbitrary: fc.tuple(pick, fault).map(([p, f]): Step => (simulation) => { simulation.stepRun(p, f) }) },
  { weight: 40, arbitrary: pick.map((p): Step => (simulation) => { simulation.stepRun(p, Fault.None) }) },
  { weight: 12, arbitrary: pick.map((p): Step => (simulation) => { simulation.deliverReply(p) }) },
  { weight: 2, arbitrary: pick.map((p): Step => (simulation) => { simulation.deliverDelayedSend(p) }) },
  { weight: 1, arbitrary: pick.map((p): Step => (simulation) => { simulation.restartHome(p) }) },
  { weight: 1, arbitrary: pick.map((p): Step => (simulation) => { simulation.restartEngine(p) }) },
  { weight: 2, arbitrary: fc.nat({ max: 60 }).map((ms): Step => (simulation) => { simulation.advanceTime(ms) }) }
)

describe('request lifecycle', () => {
  // Failures: a non-idempotent request runs twice, a caller receives not-run for a request that ran, or receives the
  // text of another request. They come about when an outcome is decided from one submission or attempt instead of
  // everything that the request id may have done. The steps are any interleaving of callers that retry ids, homes that
  // restart and evict, engines that refuse, restart or receive a send late, and messages that are lost, late,
  // duplicated or of another request.
  it(`keeps its at-most-once guarantees in any interleaving (seed ${SEED})`, () => {
    const outcomeCounts = new Map<OutcomeKind, number>()
    fc.assert(fc.property(fc.array(step, { minLength: 50, maxLength: 300 }), (steps) => {
      const simulation = new AtMostOnceSimulation(['node-a', 'node-b'], ['g1', 'g2', 'g3'])
      for (const one of steps) one(simulation)
      simulation.runToCompletion()
      for (const outcome of simulation.requests.flatMap((request) => request.receivedOutcomes)) outcomeCounts.set(outcome.kind, (outcomeCounts.get(outcome.kind) ?? 0) + 1)
    }), { seed: SEED, numRuns: RUNS })
    for (const kind of [OutcomeKind.Answered, OutcomeKind.NotRun, OutcomeKind.Unknown]) expect(outcomeCounts.get(kind), kind).to.be.greaterThan(100)
  })
})
