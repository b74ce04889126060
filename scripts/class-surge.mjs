// Replays a surge with ranks and workspaces (SurgeReplay), with and without weighing requests by class, and prints the fractions of
// requests that were answered on time and late: of all, and by rank of the workspace with half of the load (large) and of the others.
// Usage, after a build: node scripts/class-surge.mjs [load] [seeds] [nodes], e.g. 1.7 1,2,3 8,58,80,330
import { SurgeReplay } from '../packages/dotterelspur/dist/request/dispatch/__tests__/fixtures/SurgeReplay.js'

const [load = '2', seeds = '1,2,3', sizes = '8,58,80,330'] = process.argv.slice(2)
const SMALL_WORKSPACES = 12
const RANKS = [{ rank: 0, weight: 0.7 }, { rank: 1, weight: 0.1 }, { rank: 2, weight: 0.2 }]
const CALLERS = RANKS.flatMap(({ rank, weight }) => [
  { rank, workspace: 'large', weight: weight / 2 },
  ...Array.from({ length: SMALL_WORKSPACES }, (_unused, index) => ({ rank, workspace: `small${index}`, weight: weight / 2 / SMALL_WORKSPACES }))
])
const LOAD_STEPS = [0.6, Number(load), Number(load), 0.6]
const FIELDS = ['asked', 'onTime', 'late', 'lost']

function replay (nodes, weighsClasses) {
  const sums = CALLERS.map(() => Object.fromEntries(FIELDS.map((field) => [field, 0])))
  for (const seed of seeds.split(',').map(Number)) {
    const options = { seed, nodes, groups: 27, loadSteps: LOAD_STEPS, stepMs: 2_000, targetMs: 300, deadlineMs: 6_000, refuses: true, sharesObservations: true, callers: CALLERS, weighsClasses }
    new SurgeReplay(options).run().byClass.forEach((outcome, index) => {
      for (const field of FIELDS) sums[index][field] += outcome[field]
    })
  }
  return sums
}

function fractions (outcomes) {
  const total = (field) => outcomes.reduce((sum, outcome) => sum + outcome[field], 0)
  return `${(total('onTime') / total('asked')).toFixed(3)}/${(total('late') / total('asked')).toFixed(3)}`
}

for (const nodes of sizes.split(',').map(Number)) {
  for (const weighsClasses of [false, true]) {
    const sums = replay(nodes, weighsClasses)
    const of = (isChosen) => fractions(sums.filter((_unused, index) => isChosen(CALLERS[index])))
    const byRank = RANKS.map(({ rank }) => `rank ${rank} large ${of((caller) => caller.rank === rank && caller.workspace === 'large')} small ${of((caller) => caller.rank === rank && caller.workspace !== 'large')}`)
    console.log(`${nodes} nodes, ${weighsClasses ? 'by class' : 'one share'}: all ${of(() => true)}  ${byRank.join('  ')}`)
  }
}
