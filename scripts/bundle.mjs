// Bundles the program that runs on the users' platform into one file, and stores its compiled code next to it, so that a
// starting process reads two files and compiles little.
import { build } from 'esbuild'
import { spawnSync } from 'node:child_process'
import { copyFileSync, readdirSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { stripUnusedModules } from './stripUnusedModules.mjs'

const root = join(dirname(fileURLToPath(import.meta.url)), '..')
const target = join(root, 'target')
const packages = readdirSync(join(root, 'packages'))
/** The flags of deploy/system.toml: Node.js rejects cached code that was compiled under other flags. */
const RUNTIME_FLAGS = ['--max-old-space-size=160', '--max-semi-space-size=4', '--optimize-for-size']

await build({
  absWorkingDir: root,
  entryPoints: ['platform/src/main.ts'],
  outfile: join(target, 'program.cjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Stack traces show the names of functions.
  minifyWhitespace: true,
  minifySyntax: true,
  keepNames: true,
  alias: Object.fromEntries(packages.map((name) => [name, join(root, 'packages', name, 'src', 'index.ts')])),
  plugins: [stripUnusedModules(root)],
  legalComments: 'none',
  logLevel: 'warning'
})

copyFileSync(join(root, 'scripts', 'launch.cjs'), join(target, 'dotterelspur.cjs'))
const compiled = spawnSync(process.execPath, [...RUNTIME_FLAGS, join(target, 'dotterelspur.cjs'), '--compile'], { env: {}, encoding: 'utf8' })
if (compiled.status !== 0) {
  console.error(`compiling the bundle failed with status ${compiled.status}: ${compiled.stderr}`)
  process.exit(1)
}
