// Prints what replays say of scheduled retries: `node scripts/return-waves.mjs <groups> <nodes>...`, after a build.
import { RETURN_WAVES, replayWave, sharesOf, summarize } from '../packages/dotterelspur/dist/request/dispatch/__tests__/fixtures/ReturnWaves.js'

const SEEDS = [1, 2, 3, 4, 5]
const [groups = '36', ...fleets] = process.argv.slice(2)
const COLUMNS = ['onTime', 'late', 'rejectedTwice', 'peak', 'value']

for (const [name, wave] of Object.entries(RETURN_WAVES)) {
  for (const nodes of fleets.map(Number)) {
    const [before, after] = [false, true].map((schedulesReturns) => SEEDS.map((seed) => sharesOf(replayWave({ ...wave, seed, nodes, groups: Number(groups), schedulesReturns }))))
    const cells = COLUMNS.map((column) => [before, after].map((all) => summarize(all.map((shares) => shares[column])).mean.toFixed(3)).join(' to '))
    const gain = summarize(after.map(({ value }, index) => value - before[index].value))
    console.log(`| ${name} | ${nodes} | ${cells.join(' | ')} | ${gain.mean.toFixed(4)} +- ${gain.error.toFixed(4)} |`)
  }
}
