const LINE_FEED = 10

/** Cuts a byte stream into lines of bounded length. Text is decoded a line at a time, so that no character is cut. */
export class LineSplitter {
  private rest: Buffer[] = []
  private restBytes = 0

  constructor (private readonly limitBytes: number) {}

  /** Bytes of a line that has not ended. */
  get pendingBytes (): number {
    return this.restBytes
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
    if (this.restBytes + last.length > this.limitBytes) return undefined
    if (this.restBytes === 0) return last.toString('utf8')
    const line = Buffer.concat([...this.rest, last]).toString('utf8')
    this.rest = []
    this.restBytes = 0
    return line
  }

  private keep (part: Buffer): boolean {
    if (part.length === 0) return true
    this.rest.push(part)
    this.restBytes += part.length
    return this.restBytes <= this.limitBytes
  }
}
