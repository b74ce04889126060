// Prepares a checkout: installs if the lock file has changed since the last install, then builds.
import { spawnSync } from 'node:child_process'
import { createHash } from 'node:crypto'
import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = join(dirname(fileURLToPath(import.meta.url)), '..')
const stampPath = join(root, 'node_modules', '.stamp-setup')
const lockHash = createHash('sha256').update(readFileSync(join(root, 'package-lock.json'))).digest('hex')

function run (command, args) {
  const result = spawnSync(command, args, { cwd: root, stdio: ['ignore', 'inherit', 'inherit'] })
  if (result.status !== 0) {
    console.error(`setup failed with status ${result.status}: ${command} ${args.join(' ')}`)
    process.exit(result.status ?? 1)
  }
}

const isInstalled = existsSync(stampPath) && readFileSync(stampPath, 'utf8') === lockHash
if (!isInstalled) {
  run('npm', ['ci', '--no-audit', '--no-fund'])
  writeFileSync(stampPath, lockHash)
}
run(process.execPath, [join(root, 'node_modules', 'typescript', 'bin', 'tsc'), '-b'])
