// Summarizes one set of runs in journal/, or compares two: worth, refusals, processor time, memory and store calls for each day.
//
//   node scripts/journal.mjs <set> [<set>]
//
// A set is a regular expression that is matched against the id and reason of each entry. Several runs of a day are averaged.
// Days on which a rule was broken are listed with their seeds below the table.
import { readdirSync, readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const journal = join(dirname(fileURLToPath(import.meta.url)), '..', 'journal')
const COLUMNS = [
  { title: 'worth', read: (day) => day.G, digits: 3 },
  { title: 'refused', read: (day) => day.refused, digits: 3 },
  { title: 'processor s', read: (day) => amountUsed(day, /processor/), digits: 1 },
  { title: 'memory GB s', read: (day) => amountUsed(day, /memory/), digits: 1 },
  { title: 'store calls', read: (day) => amountUsed(day, /cloud calls/), digits: 0 }
]

/** The amount of a priced resource that a day used; NaN if it has no such price. */
function amountUsed (day, name) {
  const price = day.prices.find((entry) => entry.some((field) => typeof field === 'string' && name.test(field)))
  const amounts = price?.filter((field) => typeof field === 'number') ?? []
  return amounts.length === 0 ? NaN : Math.max(...amounts)
}

function readDays (pattern) {
  const entries = readdirSync(journal).filter((name) => name.endsWith('.json')).map((name) => JSON.parse(readFileSync(join(journal, name), 'utf8')))
  const chosen = entries.filter(({ id, why }) => pattern.test(`${id} ${why ?? ''}`))
  const days = new Map()
  for (const { site, days: played } of chosen) {
    for (const day of played) {
      const key = `${site} ${day.name}`
      days.set(key, [...days.get(key) ?? [], { ...day, site }])
    }
  }
  return { days, runs: chosen.length }
}

function mean (days, read) {
  return days.reduce((sum, day) => sum + read(day), 0) / days.length
}

function format (days, { read, digits }) {
  return days === undefined ? '-' : mean(days, read).toFixed(digits)
}

const patterns = process.argv.slice(2)
if (patterns.length < 1 || patterns.length > 2) {
  console.error('usage: node scripts/journal.mjs <set> [<set>]; a set is a regular expression that is matched against ids and reasons')
  process.exit(2)
}
const sets = patterns.map((pattern) => readDays(new RegExp(pattern)))
sets.forEach(({ runs }, index) => { console.log(`set ${index + 1}: ${runs} runs match ${patterns[index]}`) })
const keys = [...new Set(sets.flatMap(({ days }) => [...days.keys()]))].sort()
console.log(['day', ...COLUMNS.map(({ title }) => title)].join(' | '))
for (const key of keys) {
  console.log([key, ...COLUMNS.map((column) => sets.map(({ days }) => format(days.get(key), column)).join(' -> '))].join(' | '))
}
const broken = sets.flatMap(({ days }, index) => [...days.values()].flat().filter(({ rules }) => Object.keys(rules).length > 0).map((day) => ({ set: index + 1, day })))
console.log(broken.length === 0 ? 'no rule broken' : 'rules broken:')
for (const { set, day } of broken) console.log(`set ${set}: ${day.site} ${day.name} --seed ${day.seed}: ${JSON.stringify(day.rules)}`)
