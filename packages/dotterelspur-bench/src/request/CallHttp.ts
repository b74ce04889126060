import type { Dispatcher } from 'undici'

/** Outcome of an exchange before it is checked. */
export enum ExchangeKind {
  Response = 'response',
  /** No connection was made. */
  NotSent = 'not-sent',
  /** The request was sent, and the connection broke before the response headers. */
  Broken = 'broken',
  TimedOut = 'timed-out'
}

export type Exchange =
  | { readonly kind: ExchangeKind.Response, readonly response: Dispatcher.ResponseData }
  | { readonly kind: ExchangeKind.NotSent | ExchangeKind.Broken | ExchangeKind.TimedOut, readonly reason: string }

export interface ExchangeRequest {
  readonly url: string
  readonly method: 'GET' | 'POST'
  readonly headers: Readonly<Record<string, string>>
  readonly body: string | null
}

const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Sends a call, and waits for the response headers. */
export async function exchange (request: ExchangeRequest, dispatcher: Dispatcher, signal: AbortSignal): Promise<Exchange> {
  const { origin, pathname, search } = new URL(request.url)
  try {
    const response = await dispatcher.request({ origin, path: `${pathname}${search}`, method: request.method, headers: request.headers, body: request.body, signal })
    return { kind: ExchangeKind.Response, response }
  } catch (error) {
    const { code, name, message } = error as { code?: string, name?: string, message?: string }
    const reason = `${code ?? name}: ${message}`
    if (signal.aborted) return { kind: ExchangeKind.TimedOut, reason }
    return { kind: code !== undefined && NOT_SENT_CODES.has(code) ? ExchangeKind.NotSent : ExchangeKind.Broken, reason }
  }
}
