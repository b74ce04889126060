const LINE_FEED = 0x0a
const EVENT_END = Buffer.from('\n\n')
const ID_FIELD = Buffer.from('id:')

/**
 * Cuts a stream into whole events. An endpoint may stop in the middle of one; a continuation elsewhere starts with
 * the next whole event, so a part that was already handed on would stand before it and spoil both.
 */
export class EventCursor {
  private partialEvent: Buffer = Buffer.alloc(0)
  private lastId: string | null

  /** `lastEventId` is what the caller already has. */
  constructor (lastEventId: string | null) {
    this.lastId = lastEventId
  }

  /** The id of the last whole event that was taken out; null before the first. */
  get lastEventId (): string | null {
    return this.lastId
  }

  /** Takes in bytes and returns those that complete events, or null while there are none. */
  push (chunk: Buffer): Buffer | null {
    const bytes = this.partialEvent.length === 0 ? chunk : Buffer.concat([this.partialEvent, chunk])
    const end = bytes.lastIndexOf(EVENT_END)
    if (end === -1) {
      this.partialEvent = bytes
      return null
    }
    const whole = bytes.subarray(0, end + EVENT_END.length)
    this.partialEvent = bytes.subarray(end + EVENT_END.length)
    this.lastId = findLastId(whole) ?? this.lastId
    return whole
  }

  /** What is left when the answer has ended in the proper way. */
  takeRemainder (): Buffer {
    const { partialEvent } = this
    this.partialEvent = Buffer.alloc(0)
    return partialEvent
  }

  /** Forgets a part of an event whose sender was lost. */
  dropPartialEvent (): void {
    this.partialEvent = Buffer.alloc(0)
  }
}

/** The value of the last `id` field that begins a line. */
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
