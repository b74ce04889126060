import { ByteCollector } from './ByteCollector.js'

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_FIELD = Buffer.from('id:')
const NO_TRAILING: readonly [number | undefined, number | undefined] = [undefined, undefined]

/**
 * Splits a stream into complete events, whose lines may end in LF, CRLF or CR. An endpoint may stop in the middle of an event, and a continuation by another
 * endpoint starts with the next complete one: a partial event that was already forwarded would precede it and corrupt
 * both. Its work follows from the number of bytes alone: an event that never ends would be copied and searched again with each chunk of it
 * otherwise, and hold the event loop long before it is large.
 */
export class EventCursor {
  private readonly partialEvent = new ByteCollector()
  /** The last bytes of the partial event, the last one first: an empty line may begin there and end in the next chunk. */
  private trailing: readonly [number | undefined, number | undefined] = NO_TRAILING
  private inside = false
  private lastId: string | null

  /** `lastEventId` is the id of the last event that the caller already has. */
  constructor (lastEventId: string | null) {
    this.lastId = lastEventId
  }

  /** The id of the last complete event that was returned; null before the first. */
  get lastEventId (): string | null {
    return this.lastId
  }

  /** Whether the bytes so far end inside an event: a stream that ends there was broken off, however its response is framed. */
  get isInsideEvent (): boolean {
    return this.inside
  }

  /** Bytes of the event that is not complete. */
  get incompleteBytes (): number {
    return this.partialEvent.sizeBytes
  }

  /** Appends bytes and returns those that complete events, or null while there are none. */
  push (chunk: Buffer): Buffer | null {
    const end = endOfLastEvent(chunk, this.trailing)
    if (end === 0) {
      this.addPartial(chunk)
      return null
    }
    const complete = this.completeWith(chunk.subarray(0, end))
    this.addPartial(chunk.subarray(end))
    this.lastId = findLastId(complete) ?? this.lastId
    return complete
  }

  /** The remaining bytes, once the response has ended normally. */
  takeRemainder (): Buffer {
    this.trailing = NO_TRAILING
    this.inside = false
    return this.partialEvent.take()
  }

  /** Discards a partial event whose sender was lost. */
  dropPartialEvent (): void {
    this.takeRemainder()
  }

  private completeWith (bytes: Buffer): Buffer {
    if (this.partialEvent.sizeBytes === 0) return bytes
    this.partialEvent.push(bytes)
    return this.takeRemainder()
  }

  private addPartial (bytes: Buffer): void {
    if (bytes.length === 0) return
    this.partialEvent.push(bytes)
    this.inside ||= !bytes.every(isLineEnd)
    this.trailing = [bytes.at(-1), bytes.length > 1 ? bytes.at(-2) : this.trailing[0]]
  }
}

function isLineEnd (byte: number | undefined): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN
}

/** The index after the last empty line, which ends an event; 0 if there is none. `before` are the bytes before `bytes`, the last one first. */
function endOfLastEvent (bytes: Buffer, before: typeof NO_TRAILING): number {
  const byteAt = (at: number): number | undefined => at >= 0 ? bytes[at] : before[-at - 1]
  for (let at = bytes.length - 1; at >= 0; at--) {
    if (!isLineEnd(bytes[at])) continue
    const isCrLf = bytes[at] === LINE_FEED && byteAt(at - 1) === CARRIAGE_RETURN
    if (isLineEnd(byteAt(isCrLf ? at - 2 : at - 1))) return at + 1
  }
  return 0
}

function endOfLine (bytes: Buffer, from: number): number {
  let at = from
  while (at < bytes.length && !isLineEnd(bytes[at])) at += 1
  return at
}

/** The value of the last `id` field at the start of a line. */
function findLastId (events: Buffer): string | null {
  for (let from = events.length; from >= 0;) {
    const at = events.lastIndexOf(ID_FIELD, from)
    if (at === -1) return null
    if (at === 0 || isLineEnd(events[at - 1])) return events.toString('utf8', at + ID_FIELD.length, endOfLine(events, at)).trim()
    from = at - 1
  }
  return null
}
