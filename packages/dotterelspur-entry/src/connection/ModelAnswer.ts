import { FinishReason, type RequestId } from 'dotterelspur'
import type { FinishedEvent } from '../request/RunRequest.js'

/** The two OpenAI-compatible interfaces. They differ in a few names. */
export enum ModelInterface {
  Chat = 'chat',
  Completion = 'completion'
}

/** Values that all objects of one answer share. */
export interface AnswerMetadata {
  readonly kind: ModelInterface
  readonly requestId: RequestId
  readonly modelName: string
  readonly createdSeconds: number
}

interface InterfaceNames {
  readonly idPrefix: string
  readonly object: string
  readonly chunkObject: string
  /** The parts of a chunk's choice before and after its text in JSON. */
  readonly textParts: readonly [string, string]
  readonly emptyDelta: Readonly<Record<string, unknown>>
  readonly whole: (text: string) => Readonly<Record<string, unknown>>
}

const NAMES: Readonly<Record<ModelInterface, InterfaceNames>> = {
  [ModelInterface.Chat]: {
    idPrefix: 'chatcmpl-',
    object: 'chat.completion',
    chunkObject: 'chat.completion.chunk',
    textParts: ['"delta":{"role":"assistant","content":', '}'],
    emptyDelta: { delta: {} },
    whole: (text) => ({ message: { role: 'assistant', content: text, refusal: null } })
  },
  [ModelInterface.Completion]: {
    idPrefix: 'cmpl-',
    object: 'text_completion',
    chunkObject: 'text_completion',
    textParts: ['"text":', ''],
    emptyDelta: { text: '' },
    whole: (text) => ({ text })
  }
}

const FINISH_REASONS: Readonly<Record<FinishReason, string>> = {
  [FinishReason.Stop]: 'stop',
  [FinishReason.Length]: 'length',
  [FinishReason.Cancelled]: 'stop'
}

export const DONE_EVENT = 'data: [DONE]\n\n'

/** Formats the objects of one answer. */
export class AnswerFormat {
  private readonly names: InterfaceNames
  private readonly chunkStart: string
  private readonly chunkEnd: string

  constructor (private readonly metadata: AnswerMetadata) {
    this.names = NAMES[metadata.kind]
    const common = JSON.stringify(this.common(this.names.chunkObject)).slice(0, -1)
    const [before, after] = this.names.textParts
    this.chunkStart = `data: ${common},"choices":[{"index":0,${before}`
    this.chunkEnd = `${after},"logprobs":null,"finish_reason":null}]}\n\n`
  }

  /** One event of a stream. Everything except the text is serialized once per answer. */
  chunk (text: string): string {
    return this.chunkStart + JSON.stringify(text) + this.chunkEnd
  }

  /** The last events of a complete stream. */
  ending (finished: FinishedEvent, includeUsage: boolean): string {
    const choices = [{ index: 0, ...this.names.emptyDelta, logprobs: null, finish_reason: finishReason(finished) }]
    const last = event({ ...this.common(this.names.chunkObject), choices })
    const usage = includeUsage ? event({ ...this.common(this.names.chunkObject), choices: [], usage: usageOf(finished) }) : ''
    return last + usage + DONE_EVENT
  }

  whole (text: string, finished: FinishedEvent): Readonly<Record<string, unknown>> {
    const choices = [{ index: 0, ...this.names.whole(text), logprobs: null, finish_reason: finishReason(finished) }]
    return { ...this.common(this.names.object), choices, usage: usageOf(finished) }
  }

  private common (object: string): Readonly<Record<string, unknown>> {
    const { requestId, modelName, createdSeconds } = this.metadata
    return { id: `${this.names.idPrefix}${requestId}`, object, created: createdSeconds, model: modelName }
  }
}

function event (value: unknown): string {
  return `data: ${JSON.stringify(value)}\n\n`
}

/** The last event of a stream that can't be completed. */
export function errorEvent (value: unknown): string {
  return `event: error\n${event(value)}`
}

function finishReason (finished: FinishedEvent): string {
  return FINISH_REASONS[finished.finishReason ?? FinishReason.Stop]
}

function usageOf ({ promptTokens, completionTokens }: FinishedEvent): Readonly<Record<string, number>> {
  return { prompt_tokens: promptTokens, completion_tokens: completionTokens, total_tokens: promptTokens + completionTokens }
}
