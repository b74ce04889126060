import { Packr } from 'msgpackr'
import type { PeerFrame } from './PeerFrame.js'

/** Holds the changes of a few hundred endpoints in one frame, as occur when the store recovers from an outage. */
export const MAX_FRAME_BYTES = 1_048_576

/** Writes field names once per frame, which reduces a batch of endpoints to a third of its size. */
const codec = new Packr({ useRecords: true })

/**
 * Encodes a frame; null for one that no node would receive. What the store holds may be nested too deeply to be encoded, and a frame over
 * the limit would make the receiver close the link.
 */
export function encodeFrame (frame: PeerFrame): Buffer | null {
  try {
    const bytes = codec.pack(frame)
    return bytes.length <= MAX_FRAME_BYTES ? bytes : null
  } catch (error) {
    if (error instanceof RangeError) return null
    throw error
  }
}

/** @throws Error if the bytes are no frame; its fields are not validated. */
export function decodeFrame (bytes: Buffer): PeerFrame {
  return codec.unpack(bytes) as PeerFrame
}
