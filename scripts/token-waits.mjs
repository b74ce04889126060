// Prints what replays say of requests that wait for a rate limit's next token: `node scripts/token-waits.mjs <nodes>...`, after a build.
import { sharesOf, summarize } from '../packages/dotterelspur/dist/request/dispatch/__tests__/fixtures/ReturnWaves.js'
import { SurgeReplay } from '../packages/dotterelspur/dist/request/dispatch/__tests__/fixtures/SurgeReplay.js'
import { TOKEN_WAIT, TOKEN_WAITS } from '../packages/dotterelspur/dist/request/dispatch/__tests__/fixtures/TokenWaits.js'

const SEEDS = [1, 2, 3, 4, 5]
const TARGETS_MS = [300, 1_000]
const COLUMNS = ['onTime', 'late', 'rejectedTwice', 'value']

for (const [name, load] of Object.entries(TOKEN_WAITS)) {
  for (const targetMs of TARGETS_MS) {
    for (const nodes of process.argv.slice(2).map(Number)) {
      const [before, after] = [false, true].map((waits) => SEEDS.map((seed) => sharesOf(new SurgeReplay({ ...TOKEN_WAIT, ...load, seed, nodes, targetMs, waits }).run())))
      const cells = COLUMNS.map((column) => [before, after].map((all) => summarize(all.map((shares) => shares[column])).mean.toFixed(3)).join(' to '))
      const gain = summarize(after.map(({ value }, index) => value - before[index].value))
      console.log(`| ${name} | ${targetMs} | ${nodes} | ${cells.join(' | ')} | ${gain.mean.toFixed(4)} +- ${gain.error.toFixed(4)} |`)
    }
  }
}
