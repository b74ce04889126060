const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_FIELD = Buffer.from('id:')

/**
 * Splits a stream into complete events, whose lines may end in LF, CRLF or CR. An endpoint may stop in the middle of an event, and a continuation by another
 * endpoint starts with the next complete one: a partial event that was already forwarded would precede it and corrupt
 * both.
 */
export class EventCursor {
  private partialEvent: Buffer = Buffer.alloc(0)
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
    return !this.partialEvent.every(isLineEnd)
  }

  /** Appends bytes and returns those that complete events, or null while there are none. */
  push (chunk: Buffer): Buffer | null {
    const bytes = this.partialEvent.length === 0 ? chunk : Buffer.concat([this.partialEvent, chunk])
    const end = endOfLastEvent(bytes)
    if (end === 0) {
      this.partialEvent = bytes
      return null
    }
    const complete = bytes.subarray(0, end)
    this.partialEvent = bytes.subarray(end)
    this.lastId = findLastId(complete) ?? this.lastId
    return complete
  }

  /** The remaining bytes, once the response has ended normally. */
  takeRemainder (): Buffer {
    const { partialEvent } = this
    this.partialEvent = Buffer.alloc(0)
    return partialEvent
  }

  /** Discards a partial event whose sender was lost. */
  dropPartialEvent (): void {
    this.partialEvent = Buffer.alloc(0)
  }
}

function isLineEnd (byte: number | undefined): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN
}

/** The index after the last empty line, which ends an event; 0 if there is none. */
function endOfLastEvent (bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at--) {
    if (!isLineEnd(bytes[at])) continue
    const isCrLf = bytes[at] === LINE_FEED && bytes[at - 1] === CARRIAGE_RETURN
    if (isLineEnd(bytes[isCrLf ? at - 2 : at - 1])) return at + 1
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
