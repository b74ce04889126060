import { Agent, request } from 'undici'

/** One HTTP request to one node. */
export interface TransportRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly url: string
  readonly token: string
  readonly body: string | null
  readonly timeoutMs: number
}

export enum TransportReplyKind {
  Answer = 'answer',
  /** No connection was made: the node has seen nothing. */
  NotSent = 'not-sent',
  /** It was sent, and no whole answer came: the node may have acted. */
  NoAnswer = 'no-answer'
}

export type TransportReply =
  | { readonly kind: TransportReplyKind.Answer, readonly status: number, readonly text: string }
  | { readonly kind: TransportReplyKind.NotSent, readonly reason: string }
  | { readonly kind: TransportReplyKind.NoAnswer, readonly reason: string }

export interface AdminTransport {
  send (request: TransportRequest): Promise<TransportReply>
  close (): Promise<void>
}

/** An answer larger than this is cut off: an address that is no node's could send without end. */
const MAX_ANSWER_BYTES = 64 * 1_048_576
const CONNECT_TIMEOUT_MS = 2_000
const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EAI_AGAIN', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_INVALID_ARG'])

interface CodedError {
  readonly code?: string
  readonly message: string
}

/** The transport over HTTP. */
export function createHttpTransport (): AdminTransport {
  const agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, maxResponseSize: MAX_ANSWER_BYTES, connections: 1 })
  return {
    send: async ({ method, url, token, body, timeoutMs }) => {
      const content = body === null ? {} : { 'content-type': 'application/json' }
      try {
        const reply = await request(url, { method, body, dispatcher: agent, headers: { authorization: `Bearer ${token}`, ...content }, signal: AbortSignal.timeout(timeoutMs) })
        return { kind: TransportReplyKind.Answer, status: reply.statusCode, text: await reply.body.text() }
      } catch (error) {
        return describeFailure(error as CodedError)
      }
    },
    close: () => agent.close()
  }
}

function describeFailure (error: CodedError): TransportReply {
  const reason = error.code ?? error.message
  return { kind: NOT_SENT_CODES.has(reason) ? TransportReplyKind.NotSent : TransportReplyKind.NoAnswer, reason }
}
