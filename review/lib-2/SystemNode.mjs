import { spawn } from 'node:child_process'
import { createWriteStream, mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
/** The `run` line of the deploy file. */
const RUN = /^run = "(.+)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))[1]
const TEMPLATE = readFileSync(join(ROOT, 'deploy/node.ini'), 'utf8')

/** One process of the system, started with the commands of the deploy file; it is restarted when it ends, as the platform does. */
export class SystemNode {
  #child = null
  #isClosing = false
  #isFirstStart = true
  restartMs = 500

  static async start (name, options) {
    const host = options.host
    const ports = await freePorts(host, 5)
    const node = new SystemNode(name, options, Object.fromEntries(['front', 'readiness', 'directory', 'control', 'metrics'].map((key, index) => [key, `${host}:${ports[index]}`])))
    node.#launch()
    return node
  }

  constructor (name, options, listen) {
    this.name = name
    this.options = options
    this.listen = listen
    mkdirSync(options.folder, { recursive: true })
    this.output = createWriteStream(join(options.folder, `${name}.log`), { flags: 'a' })
  }

  get pid () {
    return this.#child?.pid
  }

  get isRunning () {
    return this.#child !== null && this.#child.exitCode === null && this.#child.signalCode === null
  }

  signal (signal) {
    this.options.record.write('signal', { node: this.name, signal })
    this.#child?.kill(signal)
  }

  async close () {
    this.#isClosing = true
    if (!this.isRunning) return
    const ended = new Promise((resolve) => { this.#child.once('exit', resolve) })
    this.#child.kill('SIGCONT')
    this.#child.kill('SIGKILL')
    await ended
    this.output.end()
  }

  writeSettings () {
    writeFileSync(this.#settingsPath, settingsOf(this, this.#isFirstStart))
  }

  get #settingsPath () {
    return join(this.options.folder, `${this.name}.ini`)
  }

  #launch () {
    this.writeSettings()
    this.#isFirstStart = false
    const [command, ...args] = RUN.split(' ')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(command === 'node' ? process.execPath : command, args, { cwd: ROOT, env: { PATH, HOME, LANG, DOTTERELSPUR_SETTINGS: this.#settingsPath }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.#child = child
    child.stdout.pipe(this.output, { end: false })
    child.stderr.pipe(this.output, { end: false })
    this.options.record.write('node-started', { node: this.name, pid: child.pid })
    child.once('exit', (code, signal) => {
      this.options.record.write('node-ended', { node: this.name, code, signal })
      if (!this.#isClosing) setTimeout(() => { if (!this.#isClosing) this.#launch() }, this.restartMs)
    })
  }
}

/** Fills `deploy/node.ini`, as the platform does, with ports that are free here. */
function settingsOf ({ name, listen, options }, isFirstStart) {
  const bounds = { grace_s: 8, ttl_max_s: 5, retry_budget_ratio: 0.2, budget_window_s: 10, retry_budget_extra: 107, drain_ms: 2_000, config_apply_ms: 2_000, ...options.bounds }
  const values = {
    node: name,
    zone: options.zone,
    'bootstrap|json': String(isFirstStart),
    'listen.front': listen.front,
    'listen.readiness_address': listen.readiness,
    'listen.directory': listen.directory,
    'listen.control': listen.control,
    'provider.address': options.storeAddress,
    heartbeat_ms: 1_200,
    'limits.memory_mb': 350,
    'limits.max_fds': 4_100,
    ...Object.fromEntries(Object.entries(bounds).map(([key, value]) => [`bounds.${key}`, value]))
  }
  return TEMPLATE.replace('{{ip}}:9464', listen.metrics).replaceAll(/\{\{([^}]+)\}\}/g, (_all, key) => String(values[key] ?? ''))
}

async function freePorts (host, count) {
  const servers = Array.from({ length: count }, () => createServer())
  await Promise.all(servers.map((server) => new Promise((resolve) => { server.listen(0, host, resolve) })))
  const ports = servers.map((server) => server.address().port)
  await Promise.all(servers.map((server) => new Promise((resolve) => { server.close(resolve) })))
  return ports
}
