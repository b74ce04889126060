import { spawn } from 'node:child_process'
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { join } from 'node:path'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const DEPLOY = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
/** The command of the deploy file. */
const [COMMAND, ...ARGUMENTS] = /^run = "(.*)"$/m.exec(DEPLOY)[1].split(' ')
const TEMPLATE = readFileSync(join(ROOT, /^template = "(.*)"$/m.exec(DEPLOY)[1]), 'utf8')

/** The bounds on the sheet of kocjan-lab. */
export const BOUNDS = { grace_s: 8, ttl_max_s: 5, retry_budget_ratio: 0.2, budget_window_s: 10, retry_budget_extra: 136, drain_ms: 2_000, config_apply_ms: 2_000 }

function render (template, fields) {
  return template.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_whole, path, json) => {
    const value = path.split('.').reduce((object, key) => object?.[key], fields)
    if (value === undefined) return ''
    return json === undefined ? String(value) : JSON.stringify(value)
  })
}

/** One process of the system, started with the command and the settings template of the deploy file, and again whenever it ends. */
export class SystemNode {
  /** @param ports callers, readiness, directory, peers */
  constructor ({ name, zone, host, ports, store, folder, onStart = () => {}, onEnd = () => {} }) {
    Object.assign(this, { name, zone, host, ports, store, folder, onStart, onEnd })
    this.ends = []
    this.closing = false
    this.child = null
    this.isFirstStart = true
  }

  get callers () {
    return { host: this.host, port: this.ports[0] }
  }

  start () {
    const settings = join(this.folder, `${this.name}.ini`)
    const address = (index) => `${this.host}:${this.ports[index]}`
    writeFileSync(settings, render(TEMPLATE, {
      node: this.name,
      zone: this.zone,
      ip: this.host,
      bootstrap: this.isFirstStart,
      bounds: BOUNDS,
      provider: { address: this.store },
      listen: { front: address(0), readiness_address: address(1), directory: address(2), control: address(3) }
    }))
    this.isFirstStart = false
    const { PATH, HOME, LANG } = process.env
    const child = spawn(COMMAND, ARGUMENTS, { cwd: ROOT, env: { PATH, HOME, LANG, DOTTERELSPUR_SETTINGS: settings }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(this.folder, `${this.name}.log`), { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    this.child = child
    process.once('exit', () => { child.kill('SIGKILL') })
    this.onStart(this)
    child.on('exit', (code, signal) => {
      if (this.closing) return
      this.ends.push({ code, signal })
      this.onEnd(this, code, signal)
      setTimeout(() => { if (!this.closing) this.start() }, 200)
    })
  }

  signal (signal) {
    this.child?.kill(signal)
  }

  async isReady () {
    try {
      return (await fetch(`http://${this.host}:${this.ports[1]}/v1/ready`, { signal: AbortSignal.timeout(900) })).status === 200
    } catch {
      return false
    }
  }

  async close () {
    this.closing = true
    const { child } = this
    if (child === null || child.exitCode !== null || child.signalCode !== null) return
    const ended = new Promise((resolve) => { child.once('exit', resolve) })
    child.kill('SIGKILL')
    await ended
  }
}
