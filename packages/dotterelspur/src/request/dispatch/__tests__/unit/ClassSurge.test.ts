import { expect } from 'chai'
import type { CallerClass, ClassOutcome } from '../fixtures/SurgeClasses.js'
import { SurgeReplay, type SurgeOptions } from '../fixtures/SurgeReplay.js'

const SEEDS = [1, 2]

/** One workspace sends half of the requests of each rank, twelve others send the rest. */
const CALLERS: readonly CallerClass[] = [{ rank: 0, weight: 0.5 }, { rank: 1, weight: 0.25 }, { rank: 2, weight: 0.25 }].flatMap(({ rank, weight }) => [
  { rank, workspace: 'large', weight: weight / 2 },
  ...Array.from({ length: 12 }, (_unused, index) => ({ rank, workspace: `small${index}`, weight: weight / 24 }))
])

const SURGE: SurgeOptions = {
  seed: 1, nodes: 8, groups: 27, loadSteps: [0.6, 2, 2, 2], stepMs: 2_000, targetMs: 300, deadlineMs: 6_000, refuses: true, sharesObservations: true, callers: CALLERS
}

/** The fraction of requests of the chosen classes that were answered, on time or late. */
function servedShare (options: Partial<SurgeOptions>, isChosen: (caller: CallerClass) => boolean, outcomes = replay(options)): number {
  const chosen = outcomes.flatMap((byClass) => byClass.filter((_unused, index) => isChosen(CALLERS[index]!)))
  return total(chosen, 'onTime', 'late') / total(chosen, 'asked')
}

function replay (options: Partial<SurgeOptions>): Array<readonly ClassOutcome[]> {
  return SEEDS.map((seed) => new SurgeReplay({ ...SURGE, seed, ...options }).run().byClass)
}

function total (outcomes: readonly ClassOutcome[], ...fields: ReadonlyArray<keyof ClassOutcome>): number {
  return outcomes.reduce((sum, outcome) => sum + fields.reduce((partial, field) => partial + outcome[field], 0), 0)
}

function onTimeShare (options: Partial<SurgeOptions>): number {
  const all = replay(options).flat()
  return total(all, 'onTime') / total(all, 'asked')
}

/** All decisions while aggregates are sent, which end with the load. */
function decisionsOf (options: Partial<SurgeOptions>): string[] {
  const decisions: string[] = []
  const untilMs = SURGE.stepMs * (options.loadSteps ?? SURGE.loadSteps).length
  const onDecision = (decision: string, atMs: number): void => {
    if (atMs < untilMs) decisions.push(decision)
  }
  new SurgeReplay({ ...SURGE, ...options, onDecision }).run()
  return decisions
}

describe('Admission by class, replayed at twice the load that the endpoints take', () => {
  for (const nodes of [8, 58, 80, 330]) {
    it(`serves urgent ranks and small workspaces more often, and nobody less than half as often as all, with ${nodes} nodes`, () => {
      // Guards against a burst in which the least urgent requests, and those of the largest workspace, take the slots of
      // all others; and against the reverse, that some class is not served at all.
      const outcomes = replay({ nodes })
      const served = (isChosen: (caller: CallerClass) => boolean): number => servedShare({}, isChosen, outcomes)
      const all = served(() => true)
      const byRank = [0, 1, 2].map((rank) => served((caller) => caller.rank === rank))
      expect(byRank[0]).to.be.greaterThan(all + 0.05)
      expect(byRank[0]).to.be.greaterThan(byRank[1]! + 0.1)
      expect(byRank[2]).to.be.at.most(byRank[1]! + 0.05)
      expect(served(({ rank, workspace }) => rank === 0 && workspace !== 'large')).to.be.greaterThan(served(({ rank, workspace }) => rank === 0 && workspace === 'large') + 0.05)
      for (const workspace of new Set(CALLERS.map((caller) => caller.workspace))) expect(served((caller) => caller.workspace === workspace), workspace!).to.be.greaterThan(all / 2)
      for (const share of byRank) expect(share).to.be.greaterThan(all / 2)
    })

    it(`serves as many on time as without classes, with ${nodes} nodes`, () => {
      expect(onTimeShare({ nodes })).to.be.greaterThan(onTimeShare({ nodes, weighsClasses: false }) - 0.01)
    })
  }

  it('serves no size of request less than half as often as all', () => {
    // Guards against long prompts that are always refused, since they start in time only where the load is lower.
    const callers: CallerClass[] = [300, 674, 2_000, 5_000, 10_000].flatMap((promptTokens) => ['a', 'b'].map((workspace) => ({ rank: 0, workspace, promptTokens, weight: 1 })))
    for (const targetMs of [300, 500]) {
      for (const nodes of [58, 330]) {
        const { byClass } = new SurgeReplay({ ...SURGE, nodes, targetMs, callers }).run()
        const served = (outcomes: readonly ClassOutcome[]): number => total(outcomes, 'onTime', 'late') / total(outcomes, 'asked')
        for (const [index, caller] of callers.entries()) expect(served([byClass[index]!]), `${caller.promptTokens} tokens`).to.be.greaterThan(served(byClass) / 2)
      }
    }
  })

  it('lets an urgent rank through that begins in the middle of the overload', () => {
    // Guards against a demand by class that is still that of the seconds before a burst.
    const callers: CallerClass[] = [{ rank: 1, workspace: 'a', weight: 1 }, { rank: 0, workspace: 'b', weight: 1, fromMs: 4_000 }]
    for (const nodes of [8, 330]) {
      const [common, urgent] = new SurgeReplay({ ...SURGE, nodes, callers }).run().byClass
      expect(urgent!.onTime / urgent!.asked, `${nodes} nodes`).to.be.greaterThan(common!.onTime / common!.asked)
    }
  })
})

describe('Admission by class where it must change nothing', () => {
  for (const nodes of [8, 330]) {
    it(`makes the decisions and draws of before where everything fits, with ${nodes} nodes`, () => {
      const calm = { nodes, loadSteps: [0.3, 0.6, 0.6] }
      expect(decisionsOf(calm)).to.deep.equal(decisionsOf({ ...calm, weighsClasses: false }))
    })

    it(`makes the decisions and draws of before in an overload with one rank and one workspace, with ${nodes} nodes`, () => {
      const single = { nodes, callers: [{ rank: 1, workspace: 'a', weight: 1 }] }
      const decisions = decisionsOf(single)
      expect(decisions.filter((decision) => decision.includes('full')).length).to.be.greaterThan(1_000)
      expect(decisions).to.deep.equal(decisionsOf({ ...single, weighsClasses: false }))
    })
  }
})

describe('Admission by class with one failure', () => {
  it('has one share for all where the coordinator runs the previous build', () => {
    // An aggregate without the field comes from a node that does not know it.
    const old = { nodes: 58, sharesClasses: false }
    expect(decisionsOf(old)).to.deep.equal(decisionsOf({ ...old, weighsClasses: false }))
  })

  for (const nodes of [8, 58, 330]) {
    it(`prefers urgent ranks after the loss of the coordinator, with ${nodes} nodes`, () => {
      // Without a fresh aggregate a node knows only its own requests, from which it can't compute shares.
      const lost = { nodes, coordinatorLostAtMs: 2_000 }
      const outcomes = replay(lost)
      const served = [0, 1, 2].map((rank) => servedShare(lost, (caller) => caller.rank === rank, outcomes))
      expect(served[0]).to.be.greaterThan(served[2]!)
      expect(served[2]).to.be.at.most(served[1]! + 0.05)
      expect(onTimeShare(lost)).to.be.greaterThan(onTimeShare({ ...lost, weighsClasses: false }) - 0.02)
    })

    it(`refuses hardly more without a coordinator where everything fits, with ${nodes} nodes`, () => {
      const calm = { nodes, coordinatorLostAtMs: 2_000, loadSteps: [0.6, 0.6, 0.6] }
      expect(onTimeShare(calm)).to.be.greaterThan(onTimeShare({ ...calm, weighsClasses: false }) - 0.01)
    })
  }
})
