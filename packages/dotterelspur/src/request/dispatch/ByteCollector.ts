const MAX_SPARE_BYTES = 65_536

/**
 * Collects bytes that arrive in chunks, at a cost in memory that follows from their number alone: a chunk is copied, since an object for
 * each chunk of a few bytes, and the read buffer that it is a part of, would take many times as much.
 */
export class ByteCollector {
  private blocks: Buffer[] = []
  /** Bytes used of the last block. */
  private usedBytes = 0
  private totalBytes = 0

  get sizeBytes (): number {
    return this.totalBytes
  }

  push (chunk: Buffer): void {
    const last = this.blocks.at(-1)
    const copiedBytes = last === undefined ? 0 : chunk.copy(last, this.usedBytes)
    this.usedBytes += copiedBytes
    const restBytes = chunk.length - copiedBytes
    if (restBytes > 0) {
      const block = Buffer.allocUnsafe(Math.max(restBytes, Math.min(this.totalBytes, MAX_SPARE_BYTES)))
      chunk.copy(block, 0, copiedBytes)
      this.blocks.push(block)
      this.usedBytes = restBytes
    }
    this.totalBytes += chunk.length
  }

  /** Drops the bytes so far. */
  clear (): void {
    this.blocks = []
    this.usedBytes = 0
    this.totalBytes = 0
  }

  /** The bytes so far; none are left afterwards. */
  take (): Buffer {
    const { blocks, usedBytes } = this
    const last = blocks.pop()
    this.clear()
    if (last === undefined) return Buffer.alloc(0)
    const end = last.subarray(0, usedBytes)
    return blocks.length === 0 ? end : Buffer.concat([...blocks, end])
  }
}
