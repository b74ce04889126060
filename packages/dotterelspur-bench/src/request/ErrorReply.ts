import { OutcomeKind } from 'dotterelspur'
import { CallOutcome } from './CallRecord.js'

/** What an error reply says of its request. */
export interface ErrorReply {
  readonly outcome: CallOutcome
  readonly reason: string
  readonly requestId: string | null
  readonly retryAfterMs: number | null
}

const OUTCOMES: Readonly<Record<string, CallOutcome>> = {
  [OutcomeKind.NotRun]: CallOutcome.NotRun,
  [OutcomeKind.Unknown]: CallOutcome.Unknown,
  [OutcomeKind.Failed]: CallOutcome.Failed
}

interface ErrorShape {
  readonly error?: {
    readonly type?: string
    readonly message?: string
    readonly outcome?: string
    readonly requestId?: string | null
    readonly retryAfterMs?: number | null
  }
}

/** Reads the one error shape of the callers' interface. Anything else counts as an unknown outcome. */
export function readErrorReply (status: number, text: string): ErrorReply {
  const error = parseShape(text).error
  return {
    outcome: OUTCOMES[error?.outcome ?? ''] ?? CallOutcome.Unknown,
    reason: error?.type === undefined ? `status ${status}` : `${error.type}: ${error.message}`,
    requestId: error?.requestId ?? null,
    retryAfterMs: error?.retryAfterMs ?? null
  }
}

function parseShape (text: string): ErrorShape {
  try {
    return JSON.parse(text) as ErrorShape
  } catch {
    return {}
  }
}
