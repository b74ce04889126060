const LINE_FEED = 0x0a
const EVENT_END = Buffer.from('\n\n')
const ID_FIELD = Buffer.from('id:')

/**
 * Splits a stream into complete events. An endpoint may stop in the middle of an event, and a continuation by another
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

  /** Whether bytes have arrived that no complete event contains yet. */
  get isInsideEvent (): boolean {
    return this.partialEvent.length > 0
  }

  /** Appends bytes and returns those that complete events, or null while there are none. */
  push (chunk: Buffer): Buffer | null {
    const bytes = this.partialEvent.length === 0 ? chunk : Buffer.concat([this.partialEvent, chunk])
    const end = bytes.lastIndexOf(EVENT_END)
    if (end === -1) {
      this.partialEvent = bytes
      return null
    }
    const complete = bytes.subarray(0, end + EVENT_END.length)
    this.partialEvent = bytes.subarray(end + EVENT_END.length)
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

/** The value of the last `id` field at the start of a line. */
function findLastId (events: Buffer): string | null {
  for (let from = events.length; from >= 0;) {
    const at = events.lastIndexOf(ID_FIELD, from)
    if (at === -1) return null
    if (at === 0 || events[at - 1] === LINE_FEED) {
      const lineEnd = events.indexOf(LINE_FEED, at)
      return events.toString('utf8', at + ID_FIELD.length, lineEnd === -1 ? events.length : lineEnd).trim()
    }
    from = at - 1
  }
  return null
}
