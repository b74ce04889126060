// Runs every compiled unit test, or those of the packages named as arguments.
import { spawnSync } from 'node:child_process'
import { existsSync, readdirSync, readFileSync, statSync } from 'node:fs'
import { basename, dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = join(dirname(fileURLToPath(import.meta.url)), '..')
const named = process.argv.slice(2)
const folders = [...readdirSync(join(root, 'packages')).map((name) => join('packages', name)), 'platform']
const packages = folders.filter((folder) => named.length === 0 || named.includes(basename(folder)))

function collect (directory, found) {
  for (const entry of readdirSync(directory)) {
    const path = join(directory, entry)
    if (statSync(path).isDirectory()) collect(path, found)
    else if (entry.endsWith('.test.js')) found.push(path)
  }
  return found
}

/** A compiled test whose source is gone must not run: the build leaves its output behind. */
function hasSource (path) {
  return statSync(path.replace(`${'/dist/'}`, '/src/').replace(/\.js$/, '.ts'), { throwIfNoEntry: false }) !== undefined
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
/** Full titles of tests that are known to fail, the part before the first `|` of each line; they are printed and left out. */
function readKnownRed () {
  const path = join(root, 'KNOWN-RED.txt')
  if (!existsSync(path)) return []
  const lines = readFileSync(path, 'utf8').split('\n').filter((line) => line.trim() !== '' && !line.startsWith('#'))
  for (const line of lines) console.log(`known red: ${line}`)
  return lines.map((line) => line.split('|')[0].trim())
}

const knownRed = readKnownRed()
const escaped = knownRed.map((title) => title.replace(/[.*+?^${}()|[\]\\]/g, '\\$&'))
const leftOut = escaped.length === 0 ? [] : ['--grep', `^(${escaped.join('|')})$`, '--invert']
const mocha = join(root, 'node_modules', 'mocha', 'bin', 'mocha.js')
// A test that leaves a listener or timer behind keeps mocha from ending; without this bound the run would never fail.
const RUN_LIMIT_MS = 15 * 60_000
const result = spawnSync(process.execPath, [mocha, ...leftOut, ...files], { cwd: root, stdio: ['ignore', 'inherit', 'inherit'], timeout: RUN_LIMIT_MS, killSignal: 'SIGKILL' })
if (result.error !== undefined) console.error(`test run stopped: ${result.error.message}`)
process.exit(result.status ?? 1)
