#!/usr/bin/env node
import { randomUUID } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { buffer } from 'node:stream/consumers'
import type { Clock } from 'dotterelspur'
import { createHttpTransport } from './connection/AdminTransport.js'
import { runCommandLine } from './process/runCommandLine.js'

const clock: Clock = {
  nowMs: () => performance.now(),
  wallMs: () => Date.now(),
  registerTimer: (delayMs, callback) => {
    const timer = setTimeout(callback, delayMs)
    return () => { clearTimeout(timer) }
  }
}

const transport = createHttpTransport()
process.exitCode = await runCommandLine(process.argv.slice(2), {
  environment: process.env,
  clock,
  transport,
  readFile: async (path) => path === '-' ? await buffer(process.stdin) : await readFile(path),
  createChangeToken: () => randomUUID(),
  writeOutput: (text) => { process.stdout.write(text) },
  writeError: (text) => { process.stderr.write(text) }
})
await transport.close()
