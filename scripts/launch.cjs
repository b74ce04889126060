// Starts the bundled program from its cached compiled code. Compiling a bundle of a few megabytes takes half of the time from
// the start of a process until it accepts requests. Node.js itself rejects cached code of another version, and the program is
// then compiled as usual.
//
//   node launch.cjs             runs the program
//   node launch.cjs --compile   evaluates its modules until it fails for lack of settings, and writes the cache
const { existsSync, readFileSync, writeFileSync } = require('node:fs')
const { join } = require('node:path')
const { Script, constants } = require('node:vm')

const path = join(__dirname, 'program.cjs')
const cachePath = join(__dirname, 'program.cache')
const isCompiling = process.argv.includes('--compile')

const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(path, 'utf8')}\n})`
const cachedData = !isCompiling && existsSync(cachePath) ? readFileSync(cachePath) : undefined
const script = new Script(source, { filename: path, cachedData, importModuleDynamically: constants.USE_MAIN_CONTEXT_DEFAULT_LOADER })
const program = { exports: {} }
script.runInThisContext()(program.exports, require, program, path, __dirname)

if (isCompiling) {
  process.on('exit', () => {
    writeFileSync(cachePath, script.createCachedData())
    process.exitCode = 0
  })
}
