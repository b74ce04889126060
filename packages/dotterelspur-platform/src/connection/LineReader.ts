import { StringDecoder } from 'node:string_decoder'
import type { Clock } from 'dotterelspur'
import { parseWatchLine, WatchLineKind } from './WatchLine.js'
import type { WatchLine } from './WatchLine.js'

const CLOSED: WatchLine = { kind: WatchLineKind.Closed }
const SILENT: WatchLine = { kind: WatchLineKind.Silent }
const MALFORMED: WatchLine = { kind: WatchLineKind.Malformed }

/** Splits a streamed response into lines, with limits on the length of a line and on the wait for it. */
export class LineReader {
  private readonly chunks: AsyncIterator<Buffer>
  private readonly decoder = new StringDecoder('utf8')
  private text = ''
  private lines: string[] = []

  constructor (body: AsyncIterable<Buffer>, private readonly clock: Clock, private readonly maximumLineLength: number) {
    this.chunks = body[Symbol.asyncIterator]()
  }

  async next (timeoutMs: number): Promise<WatchLine> {
    let timedOut = false
    let cancel = (): void => {}
    const timeout = new Promise<undefined>((resolve) => {
      cancel = this.clock.registerTimer(timeoutMs, () => { timedOut = true; resolve(undefined) })
    })
    try {
      while (this.lines.length === 0) {
        const chunk = await Promise.race([this.read(), timeout])
        if (timedOut) return SILENT
        if (chunk === undefined) return CLOSED
        this.append(chunk)
        if (this.text.length > this.maximumLineLength) return MALFORMED
      }
      return parseWatchLine(this.lines.shift()!)
    } finally {
      cancel()
    }
  }

  private async read (): Promise<Buffer | undefined> {
    try {
      const step = await this.chunks.next()
      return step.done === true ? undefined : step.value
    } catch {
      return undefined
    }
  }

  private append (chunk: Buffer): void {
    const parts = (this.text + this.decoder.write(chunk)).split('\n')
    this.text = parts.pop()!
    this.lines.push(...parts.filter((line) => line !== ''))
  }
}
