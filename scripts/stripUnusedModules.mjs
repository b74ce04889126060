// Replaces modules that the program never uses by empty ones in the bundle. A restarted node accepts requests only after
// all modules have been evaluated: with a third of a core, 0.1 s of work keeps callers waiting for 0.3 s. Without these modules
// a process listens after 0.15 s instead of 0.21 s.

/** Modules to replace, by the end of their path, and their replacement. */
const REPLACEMENTS = [
  { filter: /undici[/\\]lib[/\\]dispatcher[/\\]client-h2\.js$/, contents: 'module.exports = () => { throw new Error("HTTP/2 is not part of this bundle") }' },
  // Histograms are only read in memory; logs of them are neither written nor parsed.
  { filter: /hdr-histogram-js[/\\]dist[/\\](HistogramLogWriter|HistogramLogReader|encoding)\.js$/, contents: 'module.exports = {}' },
  // A native accelerator for long strings, which frames do not contain.
  { filter: /msgpackr-extract[/\\]index\.js$/, contents: 'module.exports = {}' }
]

/** undici's clients, without fetch, mocks and proxy agents. */
const UNDICI_CLIENTS = `
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js')
Object.assign(Dispatcher.prototype, require('undici/lib/api/index.js'))
module.exports = {
  Dispatcher,
  Client: require('undici/lib/dispatcher/client.js'),
  Pool: require('undici/lib/dispatcher/pool.js'),
  Agent: require('undici/lib/dispatcher/agent.js'),
  buildConnector: require('undici/lib/core/connect.js')
}`

/** Returns an esbuild plugin; `root` is the directory from which modules are resolved. */
export function stripUnusedModules (root) {
  return {
    name: 'strip-unused-modules',
    setup (build) {
      // HTTP/2 is used neither with endpoints nor with callers, and the built-in module takes 9 ms to load.
      build.onResolve({ filter: /^(node:)?http2$/ }, () => ({ path: 'http2', namespace: 'empty' }))
      build.onLoad({ filter: /.*/, namespace: 'empty' }, () => ({ contents: 'module.exports = {}', loader: 'js' }))
      build.onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace: 'clients' }))
      build.onLoad({ filter: /^undici$/, namespace: 'clients' }, () => ({ contents: UNDICI_CLIENTS, resolveDir: root, loader: 'js' }))
      for (const { filter, contents } of REPLACEMENTS) build.onLoad({ filter }, () => ({ contents, loader: 'js' }))
    }
  }
}
