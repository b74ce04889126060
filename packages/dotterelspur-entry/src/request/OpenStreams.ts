import { InterruptKind, type AttemptEvent, type Clock, type Teardown } from 'dotterelspur'
import { AttemptStream, type OpenStream, type RequestInterrupt } from './AttemptStream.js'

/**
 * The open streams of one request, by attempt. A wait for the next event ends early when the request is interrupted or a stream is
 * reported as silent, so an adapter that never detects a dead connection can't block the request.
 */
export class OpenStreams {
  private readonly streams = new Map<number, AttemptStream>()
  private readonly silent = new Set<number>()
  private waiting: ((event: AttemptEvent) => void) | null = null
  private readonly unregister: Teardown

  constructor (private readonly interrupt: RequestInterrupt, private readonly clock: Clock) {
    this.unregister = interrupt.registerListener(() => { this.settle() })
  }

  /** Opens a stream; it takes the place of the attempt's open one. */
  open (attempt: number, start: OpenStream): void {
    this.close(attempt)
    this.streams.set(attempt, new AttemptStream(start, this.clock, { onEvent: () => { this.settle() }, onSilent: () => { this.reportSilent() } }))
  }

  close (attempt: number): void {
    this.streams.get(attempt)?.close()
    this.streams.delete(attempt)
    this.silent.delete(attempt)
  }

  closeAll (): void {
    this.unregister()
    for (const attempt of [...this.streams.keys()]) this.close(attempt)
  }

  /** The next event of any stream. What has arrived goes before an interrupt of the request. */
  next (): AttemptEvent | Promise<AttemptEvent> {
    const event = this.take()
    if (event !== null) return event
    for (const stream of this.streams.values()) stream.request()
    return new Promise((resolve) => { this.waiting = resolve })
  }

  /** Reports silent streams, by their endpoint clients or by `isSilent`, to a call of `next` that is waiting. */
  reportSilent (isSilent: (attempt: number, silentMs: number) => boolean = () => false): void {
    if (this.waiting === null) return
    for (const [attempt, stream] of this.streams) {
      if (stream.isSilent || isSilent(attempt, stream.silentMs)) this.silent.add(attempt)
    }
    this.settle()
  }

  private settle (): void {
    const resolve = this.waiting
    if (resolve === null) return
    const event = this.take()
    if (event === null) return
    this.waiting = null
    resolve(event)
  }

  private take (): AttemptEvent | null {
    return this.takeArrived() ?? this.takeInterrupt() ?? this.takeSilent()
  }

  private takeArrived (): AttemptEvent | null {
    for (const [attempt, stream] of this.streams) {
      const event = stream.take()
      if (event === undefined) continue
      this.silent.delete(attempt)
      return { attempt, event }
    }
    return null
  }

  private takeInterrupt (): AttemptEvent | null {
    return this.interrupt.current === null ? null : { attempt: 0, event: this.interrupt.current }
  }

  private takeSilent (): AttemptEvent | null {
    const [attempt] = this.silent
    if (attempt === undefined) return null
    this.silent.delete(attempt)
    return { attempt, event: { kind: InterruptKind.Stalled } }
  }
}
