import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { openSync, closeSync } from 'node:fs'
import { readFile } from 'node:fs/promises'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { DEFAULT_MACHINE } from 'dotterelspur'
import { heapFlags } from 'dotterelspur-node'

const LOG_TAIL_LINES = 20

/** Path of the node's program, in the directory of the package's main module. */
export function nodeProgram (): string {
  return join(dirname(fileURLToPath(import.meta.resolve('dotterelspur-node'))), 'dotterelspur.js')
}

/**
 * A node as a child process. It has its own process group, so that signals from the terminal reach only the demo, which then
 * ends its nodes in order.
 */
export class NodeProcess {
  private child: ChildProcess | undefined
  private exited: Promise<void> = Promise.resolve()
  /** How the last process ended: its exit code, or the signal that ended it; null if none has. */
  lastEnd: number | NodeJS.Signals | null = null

  constructor (readonly id: string, private readonly settingsPath: string, private readonly logPath: string) {}

  /** Undefined while no process runs. */
  get processId (): number | undefined {
    return this.child?.pid
  }

  get running (): boolean {
    return this.child !== undefined
  }

  start (): void {
    if (this.child !== undefined) return
    const log = openSync(this.logPath, 'a')
    const child = spawn(process.execPath, [...heapFlags(DEFAULT_MACHINE.memoryBytes), nodeProgram(), '--settings', this.settingsPath], { stdio: ['ignore', log, log], detached: true })
    closeSync(log)
    this.child = child
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.lastEnd = code ?? signal
        if (this.child === child) this.child = undefined
        resolve()
      })
    })
  }

  signal (signal: NodeJS.Signals): void {
    this.child?.kill(signal)
  }

  /** Sends SIGKILL, which also ends a process that is paused by SIGSTOP, and waits until it has exited. */
  async kill (): Promise<void> {
    this.signal('SIGKILL')
    await this.exited
  }

  /** Resolves when the process has exited. */
  async ended (): Promise<void> {
    await this.exited
  }

  async logTail (): Promise<string> {
    const text = await readFile(this.logPath, 'utf8').catch(() => '')
    return text.trimEnd().split('\n').slice(-LOG_TAIL_LINES).join('\n')
  }
}
