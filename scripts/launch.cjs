// Starts the bundled program from compiled code that the build kept beside it: compiling a bundle of some megabytes
// takes half of the time from a process's start until it takes requests, after each restart. Cached code of another
// version of the runtime is refused by the runtime itself, and the program is compiled as usual.
//
//   node launch.cjs             runs the program
//   node launch.cjs --compile   runs its modules up to the missing settings, and keeps what was compiled for that
const { existsSync, readFileSync, writeFileSync } = require('node:fs')
const { join } = require('node:path')
const { Script, constants } = require('node:vm')

const path = join(__dirname, 'program.cjs')
const cachePath = join(__dirname, 'program.cache')
const compiles = process.argv.includes('--compile')

const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(path, 'utf8')}\n})`
const cachedData = !compiles && existsSync(cachePath) ? readFileSync(cachePath) : undefined
const script = new Script(source, { filename: path, cachedData, importModuleDynamically: constants.USE_MAIN_CONTEXT_DEFAULT_LOADER })
const program = { exports: {} }
script.runInThisContext()(program.exports, require, program, path, __dirname)

if (compiles) {
  process.on('exit', () => {
    writeFileSync(cachePath, script.createCachedData())
    process.exitCode = 0
  })
}
