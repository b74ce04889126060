export enum SseEventKind {
  Data = 'data',
  /** The explicit end mark. */
  Done = 'done',
  Error = 'error'
}

export interface SseEvent {
  readonly kind: SseEventKind
  readonly data: string
}

const DATA_PREFIX = 'data:'
const EVENT_PREFIX = 'event:'
const DONE_MARK = '[DONE]'
/** An event holds some tokens of an answer: a few kilobytes. */
const MAX_EVENT_LENGTH = 1_048_576

/** Takes the bytes of an event stream apart. What stays in it at the end of the bytes is not an event. */
export class SseReader {
  private readonly decoder = new TextDecoder()
  private rest = ''

  /** @throws Error if an event does not end. */
  push (bytes: Uint8Array): SseEvent[] {
    this.rest += this.decoder.decode(bytes, { stream: true })
    const blocks = this.rest.split(/\r?\n\r?\n/)
    this.rest = blocks.pop()!
    if (this.rest.length > MAX_EVENT_LENGTH) throw new Error(`an event of more than ${MAX_EVENT_LENGTH} characters`)
    return blocks.flatMap((block) => readBlock(block))
  }
}

function readBlock (block: string): SseEvent[] {
  const lines = block.split(/\r?\n/)
  const data = lines.filter((line) => line.startsWith(DATA_PREFIX)).map((line) => line.slice(DATA_PREFIX.length).trimStart()).join('\n')
  const isError = lines.some((line) => line.startsWith(EVENT_PREFIX) && line.slice(EVENT_PREFIX.length).trim() === 'error')
  if (data === '') return []
  if (isError) return [{ kind: SseEventKind.Error, data }]
  return [{ kind: data === DONE_MARK ? SseEventKind.Done : SseEventKind.Data, data }]
}
