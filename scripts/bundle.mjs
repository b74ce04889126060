// Bundles the program that runs on the users' platform into one file, so that a start reads one file.
import { build } from 'esbuild'
import { readdirSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = join(dirname(fileURLToPath(import.meta.url)), '..')
const packages = readdirSync(join(root, 'packages'))

await build({
  absWorkingDir: root,
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/dotterelspur.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  alias: Object.fromEntries(packages.map((name) => [name, join(root, 'packages', name, 'src', 'index.ts')])),
  // Libraries in CommonJS call `require`, which modules don't have.
  banner: { js: "import { createRequire as bundleRequire } from 'node:module'; const require = bundleRequire(import.meta.url);" },
  legalComments: 'none',
  logLevel: 'warning'
})
