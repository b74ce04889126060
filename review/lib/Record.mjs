import { createWriteStream } from 'node:fs'

/** What was sent, answered and run, one line of JSON each, with the time since the start in ms. */
export class Record {
  constructor (path) {
    this.startedAtMs = performance.now()
    this.lines = []
    this.file = createWriteStream(path)
  }

  get nowMs () {
    return Math.round(performance.now() - this.startedAtMs)
  }

  write (event, fields = {}) {
    const line = { atMs: this.nowMs, event, ...fields }
    this.lines.push(line)
    this.file.write(`${JSON.stringify(line)}\n`)
    return line
  }

  of (event) {
    return this.lines.filter((line) => line.event === event)
  }

  async close () {
    await new Promise((resolve) => { this.file.end(resolve) })
  }
}
