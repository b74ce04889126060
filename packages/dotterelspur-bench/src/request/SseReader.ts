/** One event of a server-sent event stream. */
export interface SseEvent {
  readonly name: string
  readonly data: string
}

/** Splits a stream of text into server-sent events. */
export class SseReader {
  private text = ''

  /** Takes text in and gives the events that it completes. */
  push (text: string): SseEvent[] {
    const parts = (this.text + text).split('\n\n')
    this.text = parts.pop()!
    return parts.map(parseEvent)
  }
}

function parseEvent (block: string): SseEvent {
  let name = 'message'
  const data: string[] = []
  for (const line of block.split('\n')) {
    if (line.startsWith('event: ')) name = line.slice('event: '.length)
    if (line.startsWith('data: ')) data.push(line.slice('data: '.length))
  }
  return { name, data: data.join('\n') }
}
