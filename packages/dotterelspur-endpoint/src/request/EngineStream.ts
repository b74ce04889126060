import { EndpointErrorKind, StreamEventKind } from 'dotterelspur'
import type { EndpointError, StreamEvent } from 'dotterelspur'
import type { EndpointSettings } from '../process/EndpointSettings.js'
import type { Exchange } from './Exchange.js'
import { LineSplitter } from './LineSplitter.js'
import { acceptClose, acceptLine } from './StreamAssembly.js'
import type { StreamAssembly } from './StreamAssembly.js'

/** The chunks of one answer's body, checked one by one; ends with the End chunk or an error. Silence is reported and ends nothing. */
export class EngineStream {
  private readonly lines: LineSplitter
  private started = false

  constructor (private readonly exchange: Exchange, private assembly: StreamAssembly, private readonly settings: EndpointSettings) {
    this.lines = new LineSplitter(settings.lineBytes)
  }

  /** Whether the end mark has come. */
  get ended (): boolean {
    return this.assembly.ended
  }

  async * events (): AsyncGenerator<StreamEvent, void, undefined> {
    for (;;) {
      const timeoutMs = this.started ? this.settings.chunkTimeoutMs : this.settings.firstChunkTimeoutMs
      while (!await this.exchange.bodyComes(timeoutMs)) yield silentEvent(timeoutMs)
      const step = await this.exchange.next(timeoutMs)
      if (!step.ok) return yield this.brokenOff(step.error.reason)
      if (step.value.chunk === undefined) return yield errorEvent(acceptClose(this.assembly)!)
      for (const event of this.accept(step.value.chunk)) {
        yield event
        if (this.assembly.ended || event.kind === StreamEventKind.Error) return
      }
    }
  }

  private * accept (part: Buffer): Generator<StreamEvent, void, undefined> {
    const lines = this.lines.push(part)
    if (lines === undefined) return yield errorEvent({ kind: EndpointErrorKind.Malformed, reason: `a line is longer than ${this.settings.lineBytes} bytes` })
    for (const line of lines) {
      const step = acceptLine(this.assembly, line)
      if (!step.ok) return yield errorEvent(step.error)
      this.assembly = step.value.assembly
      this.started = true
      yield { kind: StreamEventKind.Chunk, chunk: step.value.chunk }
    }
  }

  private brokenOff (reason: string): StreamEvent {
    return errorEvent({ kind: EndpointErrorKind.Broken, reason, offset: this.assembly.offset })
  }
}

export function silentEvent (silentMs: number): StreamEvent {
  return { kind: StreamEventKind.Silent, silentMs }
}

function errorEvent (error: EndpointError): StreamEvent {
  return { kind: StreamEventKind.Error, error }
}
