import type { Socket } from 'node:net'

/** Parts of a read in which no head can hold many fields. */
export const HEAD_PART_BYTES = 2_048

/**
 * Gives the parser of a connection what was read in parts. It keeps an object for each name and each value, and stops for nothing inside a
 * read: one of 64 KB holds 10,900 fields.
 * @param partBytes the largest part; called before each part, and may close the connection, which is then read no further.
 * @param onPart called with each part before it is parsed.
 */
export function readInParts (socket: Socket, partBytes: () => number = () => HEAD_PART_BYTES, onPart: (bytes: Buffer) => void = () => {}): void {
  const read = socket.read.bind(socket)
  socket.read = (sizeBytes?: number) => {
    if (sizeBytes !== undefined) return read(sizeBytes)
    const limitBytes = partBytes()
    if (socket.destroyed) return null
    const part = read(socket.readableLength > limitBytes ? limitBytes : undefined) as Buffer | null
    if (part !== null) onPart(part)
    return part
  }
}
