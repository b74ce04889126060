import { writeFileSync, appendFileSync } from 'node:fs'

/** Writes what was sent, answered and run to `record.txt`, a line each with the time since the start. */
export class Record {
  #startedAtMs = performance.now()
  #lines = []

  constructor (path) {
    this.path = path
    writeFileSync(path, '')
  }

  get nowMs () {
    return Math.round(performance.now() - this.#startedAtMs)
  }

  write (event, fields = {}) {
    this.#lines.push(`${(this.nowMs / 1_000).toFixed(3).padStart(8)} ${event} ${JSON.stringify(fields)}`)
    if (this.#lines.length >= 50) this.flush()
  }

  flush () {
    if (this.#lines.length > 0) appendFileSync(this.path, this.#lines.splice(0).join('\n') + '\n')
  }
}
