// Runs all compiled unit tests, or those of the packages given as arguments.
import { spawnSync } from 'node:child_process'
import { existsSync, readdirSync, readFileSync, statSync } from 'node:fs'
import { basename, dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = join(dirname(fileURLToPath(import.meta.url)), '..')
const requested = process.argv.slice(2)
const folders = [...readdirSync(join(root, 'packages')).map((name) => join('packages', name)), 'platform']
const packages = folders.filter((folder) => requested.length === 0 || requested.includes(basename(folder)))

function collect (directory, found) {
  for (const entry of readdirSync(directory)) {
    const path = join(directory, entry)
    if (statSync(path).isDirectory()) collect(path, found)
    else if (entry.endsWith('.test.js')) found.push(path)
  }
  return found
}

/** Whether a compiled test still has its source: the build does not delete the output of removed files. */
function hasSource (path) {
  return statSync(path.replace('/dist/', '/src/').replace(/\.js$/, '.ts'), { throwIfNoEntry: false }) !== undefined
}

const files = packages
  .map((folder) => join(root, folder, 'dist'))
  .filter((directory) => statSync(directory, { throwIfNoEntry: false }) !== undefined)
  .flatMap((directory) => collect(directory, []))
  .filter(hasSource)
  .sort()
if (files.length === 0) {
  console.error('no test files found')
  process.exit(1)
}
/** Prints KNOWN-RED.txt, and returns the full titles of its tests: the part of each line before the first `|`. */
function readKnownRed () {
  const path = join(root, 'KNOWN-RED.txt')
  if (!existsSync(path)) return []
  const lines = readFileSync(path, 'utf8').split('\n').filter((line) => line.trim() !== '' && !line.startsWith('#'))
  for (const line of lines) console.log(`known red: ${line}`)
  return lines.map((line) => line.split('|')[0].trim())
}

const knownRed = readKnownRed()
const escaped = knownRed.map((title) => title.replace(/[.*+?^${}()|[\]\\]/g, '\\$&'))
const exclusion = escaped.length === 0 ? [] : ['--grep', `^(${escaped.join('|')})$`, '--invert']
const mocha = join(root, 'node_modules', 'mocha', 'bin', 'mocha.js')
// A listener or timer that a test leaves open keeps mocha running, and the run would never fail without a limit. Soaks and tests of real
// processes take as long as their faults last, so that a run beside other load takes twice as long as on an idle machine.
const RUN_LIMIT_MS = 45 * 60_000
const result = spawnSync(process.execPath, [mocha, ...exclusion, ...files], { cwd: root, stdio: ['ignore', 'inherit', 'inherit'], timeout: RUN_LIMIT_MS, killSignal: 'SIGKILL' })
if (result.error !== undefined) console.error(`test run stopped: ${result.error.message}`)
process.exit(result.status ?? 1)
