import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { openSync, closeSync } from 'node:fs'
import { readFile } from 'node:fs/promises'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const LOG_TAIL_LINES = 20

/** The node's program, beside the package's main module. */
export function nodeProgram (): string {
  return join(dirname(fileURLToPath(import.meta.resolve('dotterelspur-node'))), 'dotterelspur.js')
}

/**
 * One node, as a child process that is ended with its parent. It has a process group of its own: a signal from the
 * terminal goes to the demo alone, which ends its nodes in order.
 */
export class NodeProcess {
  private child: ChildProcess | undefined
  private ending: Promise<void> = Promise.resolve()

  constructor (readonly id: string, private readonly settingsPath: string, private readonly logPath: string) {}

  get running (): boolean {
    return this.child !== undefined
  }

  start (): void {
    if (this.child !== undefined) return
    const log = openSync(this.logPath, 'a')
    const child = spawn(process.execPath, [nodeProgram(), '--settings', this.settingsPath], { stdio: ['ignore', log, log], detached: true })
    closeSync(log)
    this.child = child
    this.ending = new Promise((resolve) => {
      child.once('exit', () => {
        if (this.child === child) this.child = undefined
        resolve()
      })
    })
  }

  signal (signal: NodeJS.Signals): void {
    this.child?.kill(signal)
  }

  /** Ends it at once and waits until it is gone. A stopped process dies of this too. */
  async kill (): Promise<void> {
    this.signal('SIGKILL')
    await this.ending
  }

  /** Resolves when the process has ended by itself. */
  async ended (): Promise<void> {
    await this.ending
  }

  async logTail (): Promise<string> {
    const text = await readFile(this.logPath, 'utf8').catch(() => '')
    return text.trimEnd().split('\n').slice(-LOG_TAIL_LINES).join('\n')
  }
}
