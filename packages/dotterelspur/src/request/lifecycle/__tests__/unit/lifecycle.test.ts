import { expect } from 'chai'
import fc from 'fast-check'
import { OutcomeKind, RequestSafety } from '../../../../index.js'
import { AtMostOnceWorld, Luck } from '../fixtures/AtMostOnceWorld.js'

const SEED = 20_261_202
const RUNS = 3_000

type Step = (world: AtMostOnceWorld) => void

const pick = fc.nat({ max: 50 })
const luck = fc.constantFrom(...Object.values(Luck))
const rarely = fc.nat({ max: 4 }).map((value) => value === 0)
const safety = fc.constantFrom(...Object.values(RequestSafety))

/** One thing that happens in the world; weights keep runs moving while faults are frequent. */
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 8, arbitrary: fc.tuple(pick, safety, fc.boolean()).map(([p, s, numbered]): Step => (world) => { world.submitNew(p, s, numbered) }) },
  { weight: 10, arbitrary: pick.map((p): Step => (world) => { world.submitAgain(p) }) },
  { weight: 16, arbitrary: fc.tuple(pick, fc.boolean(), rarely).map(([p, repeated, refused]): Step => (world) => { world.deliverSubmission(p, repeated, refused) }) },
  { weight: 1, arbitrary: pick.map((p): Step => (world) => { world.dropSubmission(p) }) },
  { weight: 24, arbitrary: fc.tuple(pick, luck).map(([p, l]): Step => (world) => { world.stepRun(p, l) }) },
  { weight: 40, arbitrary: pick.map((p): Step => (world) => { world.stepRun(p, Luck.Good) }) },
  { weight: 12, arbitrary: pick.map((p): Step => (world) => { world.deliverReply(p) }) },
  { weight: 2, arbitrary: pick.map((p): Step => (world) => { world.landDelayed(p) }) },
  { weight: 1, arbitrary: pick.map((p): Step => (world) => { world.restartHome(p) }) },
  { weight: 1, arbitrary: pick.map((p): Step => (world) => { world.restartEngine(p) }) },
  { weight: 2, arbitrary: fc.nat({ max: 60 }).map((ms): Step => (world) => { world.pass(ms) }) }
)

describe('request lifecycle', () => {
  // Symptom: a loan request reaches its lender twice, a caller is told not-run of what ran, or gets another's text.
  // Sequence: any interleaving of callers that repeat ids, homes that restart and forget, engines that refuse,
  // restart or take a send late, and messages that are lost, late, repeated or foreign.
  // Cause: a decision taken on less than what the whole request id may have done.
  it(`keeps its promises in any interleaving (seed ${SEED})`, () => {
    const told = new Map<OutcomeKind, number>()
    fc.assert(fc.property(fc.array(step, { minLength: 50, maxLength: 300 }), (steps) => {
      const world = new AtMostOnceWorld(['node-a', 'node-b'], ['g1', 'g2', 'g3'])
      for (const one of steps) one(world)
      world.settle()
      for (const outcome of world.requests.flatMap((request) => request.told)) told.set(outcome.kind, (told.get(outcome.kind) ?? 0) + 1)
    }), { seed: SEED, numRuns: RUNS })
    for (const kind of [OutcomeKind.Answered, OutcomeKind.NotRun, OutcomeKind.Unknown]) expect(told.get(kind), kind).to.be.greaterThan(100)
  })
})
