import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { existsSync, mkdtempSync, openSync, rmSync } from 'node:fs'
import { once } from 'node:events'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { readTarget } from './load/LoadTarget.js'
import type { LoadTarget } from './load/LoadTarget.js'

export interface DemoOptions {
  readonly nodes: number
  readonly seed: number
}

/** A running demo: stand-ins and real node processes on loopback, until the bench ends it. */
export interface RunningDemo {
  readonly target: LoadTarget
  readonly pid: number
  /** Its standard output and error, for error messages. */
  readonly logPath: string
  stop (keepLog: boolean): Promise<void>
}

const DEMO_PATH = fileURLToPath(new URL('../../../dotterelspur-demo/dist/demo.js', import.meta.url))
const START_TIMEOUT_MS = 60_000
const STOP_TIMEOUT_MS = 20_000
const POLL_MS = 100

/** Starts the demo and waits until its groups serve. */
export async function startDemo (options: DemoOptions): Promise<RunningDemo> {
  const directory = mkdtempSync(join(tmpdir(), 'dotterelspur-bench-'))
  const describePath = join(directory, 'demo.json')
  const logPath = join(directory, 'demo.log')
  const log = openSync(logPath, 'w')
  const demo = spawn(process.execPath, [DEMO_PATH, '--keep', '--describe', describePath, '--nodes', String(options.nodes), '--seed', String(options.seed)], { stdio: ['ignore', log, log] })
  const deadline = Date.now() + START_TIMEOUT_MS
  while (!existsSync(describePath)) {
    if (demo.exitCode !== null) throw new Error(`the demo ended with ${demo.exitCode} before its groups served; see ${logPath}`)
    if (Date.now() > deadline) {
      await stopProcess(demo)
      throw new Error(`the demo's groups did not serve within ${START_TIMEOUT_MS} ms; see ${logPath}`)
    }
    await delay(POLL_MS)
  }
  return {
    target: readTarget(describePath),
    pid: demo.pid!,
    logPath,
    stop: async (keepLog) => {
      const clean = await stopProcess(demo)
      if (clean && !keepLog) rmSync(directory, { recursive: true, force: true })
    }
  }
}

async function stopProcess (demo: ChildProcess): Promise<boolean> {
  if (demo.exitCode !== null) return false
  const ended = once(demo, 'exit')
  demo.kill('SIGTERM')
  const first = await Promise.race([ended.then(() => true), delay(STOP_TIMEOUT_MS, false)])
  if (!first) demo.kill('SIGKILL')
  return first && demo.exitCode === 0
}
