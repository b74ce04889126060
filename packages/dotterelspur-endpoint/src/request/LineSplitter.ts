import { ByteCollector } from 'dotterelspur'

const LINE_FEED = 10

/** Cuts a byte stream into lines of bounded length. Text is decoded a line at a time, so that no character is cut. */
export class LineSplitter {
  private readonly rest = new ByteCollector()

  constructor (private readonly limitBytes: number) {}

  /** Bytes of a line that has not ended. */
  get pendingBytes (): number {
    return this.rest.sizeBytes
  }

  /** The lines that end in this part; undefined when one is longer than the bound. */
  push (part: Buffer): string[] | undefined {
    const lines: string[] = []
    let start = 0
    for (;;) {
      const end = part.indexOf(LINE_FEED, start)
      if (end === -1) break
      const line = this.join(part.subarray(start, end))
      if (line === undefined) return undefined
      lines.push(line)
      start = end + 1
    }
    return this.keep(part.subarray(start)) ? lines : undefined
  }

  private join (last: Buffer): string | undefined {
    if (this.rest.sizeBytes + last.length > this.limitBytes) return undefined
    if (this.rest.sizeBytes === 0) return last.toString('utf8')
    this.rest.push(last)
    return this.rest.take().toString('utf8')
  }

  private keep (part: Buffer): boolean {
    if (part.length === 0) return true
    this.rest.push(part)
    return this.rest.sizeBytes <= this.limitBytes
  }
}
