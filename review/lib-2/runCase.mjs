import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Record } from './Record.mjs'

const HELD = 0
const BROKEN = 1
const NOT_RUN = 2
const LIMIT_MS = 118_000

export const delay = (durationMs) => new Promise((resolve) => { setTimeout(resolve, durationMs) })

/** Waits until a condition holds; throws after the time limit. */
export async function until (what, condition, limitMs = 20_000) {
  const untilMs = performance.now() + limitMs
  while (!condition()) {
    if (performance.now() > untilMs) throw new Error(`not within ${limitMs} ms: ${what}`)
    await delay(50)
  }
}

/**
 * Runs a case in a temporary folder, writes `record.txt` into the case's folder, and exits with 1 if the rule was broken, 0 if it held, and 2 if
 * the case could not run. `run` returns whether the rule held, with the figures, and registers with `onEnd` what ends all processes.
 */
export async function runCase (folder, run) {
  const record = new Record(join(folder, 'record.txt'))
  const temporary = mkdtempSync(join(tmpdir(), 'dotterelspur-review-'))
  const hasTrouble = process.env.TROUBLE !== '0'
  const ends = []
  const finish = async (code) => {
    for (const end of ends.splice(0).reverse()) await Promise.resolve(end()).catch(() => {})
    record.flush()
    if (process.env.KEEP === undefined) rmSync(temporary, { recursive: true, force: true })
    process.exit(code)
  }
  setTimeout(() => {
    record.write('not-run', { reason: 'time limit' })
    finish(NOT_RUN)
  }, LIMIT_MS)
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, () => {
      record.write('not-run', { reason: signal })
      finish(NOT_RUN)
    })
  }
  record.write('begin', { trouble: hasTrouble })
  try {
    const verdict = await run({ record, temporary, hasTrouble, onEnd: (end) => { ends.push(end) } })
    record.write('verdict', verdict)
    console.log(JSON.stringify(verdict))
    await finish(verdict.isBroken ? BROKEN : HELD)
  } catch (error) {
    record.write('not-run', { reason: String(error.stack) })
    console.error(error)
    await finish(NOT_RUN)
  }
}
