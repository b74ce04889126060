import type { Dispatcher } from 'undici'
import { formatRequestId } from 'dotterelspur'
import type { Random } from 'dotterelspur'
import { serviceOf, teamOf } from '../process/load/LoadTarget.js'
import type { LoadTarget, TargetTeam } from '../process/load/LoadTarget.js'
import { CallKind } from '../process/load/WorkloadMix.js'
import type { PlannedCall } from '../process/load/WorkloadMix.js'
import { findAnswerFault, chatPrompt } from './AnswerCheck.js'
import { ExchangeKind, exchange } from './CallHttp.js'
import type { Exchange, ExchangeRequest } from './CallHttp.js'
import { CallOutcome } from './CallRecord.js'
import type { CallRecord } from './CallRecord.js'
import { EntryDirectory } from './EntryDirectory.js'
import { readErrorReply } from './ErrorReply.js'
import { readStreamedAnswer, readWholeAnswer } from './ModelReply.js'
import type { Reply } from './ModelReply.js'

export interface CallerOptions {
  readonly target: LoadTarget
  readonly dispatcher: Dispatcher
  readonly random: Random
  /** The versions of the models that may answer; null leaves the text of answers unchecked. */
  readonly versions: readonly string[] | null
  readonly timeoutMs: number
  /** Told the time between two pieces of a stream. */
  readonly onTokenGap: (gapMs: number) => void
}

const ONCE_KINDS: ReadonlySet<CallKind> = new Set([CallKind.ChatOnce, CallKind.ServiceOnce])
const RANDOM_LENGTH = 16
const ALPHABET = 'abcdefghijklmnopqrstuvwxyz0123456789'
/** The header that marks a chat request as non-idempotent; docs/INTERFACE.md. */
const NON_IDEMPOTENT_HEADER = 'dotterelspur-non-idempotent'

type ReplyReader = (response: Dispatcher.ResponseData, onTokenGap: (gapMs: number) => void) => Promise<Reply>

interface KindHandler {
  request (call: PlannedCall, target: LoadTarget, team: TargetTeam): Omit<ExchangeRequest, 'headers'> & { readonly headers: Readonly<Record<string, string>> }
  readonly read: ReplyReader
  readonly checked: boolean
}

const JSON_HEADERS = { 'content-type': 'application/json' }

function chat (stream: boolean, headers: Readonly<Record<string, string>> = {}): KindHandler {
  return {
    request: (call, _target, team) => ({
      url: '/v1/chat/completions',
      method: 'POST',
      headers: { ...JSON_HEADERS, ...headers },
      body: JSON.stringify({ model: team.models[0], messages: [{ role: 'user', content: call.prompt }], max_tokens: call.maxTokens, seed: call.seed, stream })
    }),
    read: stream ? readStreamedAnswer : readWholeAnswer,
    checked: true
  }
}

function service (path: 'safePath' | 'oncePath', method: 'GET' | 'POST'): KindHandler {
  return {
    request: (call, target) => ({
      url: serviceOf(target, call.team)[path],
      method,
      headers: method === 'POST' ? JSON_HEADERS : {},
      body: method === 'POST' ? JSON.stringify({ number: call.number }) : null
    }),
    read: async (response) => ({ text: await response.body.text(), requestId: headerOf(response, 'x-request-id'), whole: true, tokens: 0, firstTokenAtMs: null, error: null }),
    checked: false
  }
}

const HANDLERS: Readonly<Record<CallKind, KindHandler>> = {
  [CallKind.ChatStream]: chat(true),
  [CallKind.ChatWhole]: chat(false),
  [CallKind.ChatOnce]: chat(true, { [NON_IDEMPOTENT_HEADER]: 'true' }),
  [CallKind.ServiceSafe]: service('safePath', 'GET'),
  [CallKind.ServiceOnce]: service('oncePath', 'POST')
}

/** A population of callers: asks the directory, connects to what it names, sends each call once and judges the reply. */
export class Caller {
  private readonly directories = new Map<string, EntryDirectory>()

  constructor (private readonly options: CallerOptions) {
    for (const { team, token } of options.target.teams) {
      this.directories.set(team, new EntryDirectory(options.target.entries, token, options.dispatcher))
    }
  }

  async run (call: PlannedCall, intendedAtMs: number): Promise<CallRecord> {
    const { target, timeoutMs } = this.options
    const sentAtMs = Date.now()
    const team = teamOf(target, call.team)
    const handler = HANDLERS[call.kind]
    const once = ONCE_KINDS.has(call.kind)
    const directory = await this.directories.get(call.team)!.current()
    const idempotencyKey = once ? this.createKey(directory.home, call) : null
    const { url, ...request } = handler.request(call, target, team)
    const headers = { ...request.headers, authorization: `Bearer ${team.token}`, ...(idempotencyKey === null ? {} : { 'idempotency-key': idempotencyKey }) }
    const base = { number: call.number, team: call.team, kind: call.kind, once, idempotencyKey, intendedAtMs, sentAtMs }
    const signal = AbortSignal.timeout(timeoutMs)
    let entry = ''
    let reply: Exchange = { kind: ExchangeKind.NotSent, reason: 'no address' }
    // A refused connection has sent nothing, so the next address may be tried, whatever the call is.
    for (const address of directory.addresses) {
      entry = address
      reply = await exchange({ ...request, url: `${address}${url}`, headers }, this.options.dispatcher, signal)
      if (reply.kind !== ExchangeKind.NotSent) break
    }
    const judged = await this.judge(call, team, handler, reply, signal)
    return { ...base, entry, endedAtMs: Date.now(), ...judged }
  }

  private async judge (call: PlannedCall, team: TargetTeam, handler: KindHandler, reply: Exchange, signal: AbortSignal): Promise<Judged> {
    if (reply.kind !== ExchangeKind.Response) return { ...NOTHING, outcome: EXCHANGE_OUTCOMES[reply.kind], reason: reply.reason }
    const { response } = reply
    try {
      if (response.statusCode >= 400) {
        const error = readErrorReply(response.statusCode, await response.body.text())
        return { ...NOTHING, ...error, requestId: error.requestId ?? headerOf(response, 'x-request-id') }
      }
      const answer = await handler.read(response, this.options.onTokenGap)
      return { ...NOTHING, ...this.judgeAnswer(call, team, handler, answer), requestId: answer.requestId, tokens: answer.tokens, firstTokenAtMs: answer.firstTokenAtMs }
    } catch (error) {
      const outcome = signal.aborted ? CallOutcome.TimedOut : CallOutcome.CutOff
      return { ...NOTHING, outcome, reason: String(error) }
    }
  }

  private judgeAnswer (call: PlannedCall, team: TargetTeam, handler: KindHandler, answer: Reply): Pick<Judged, 'outcome' | 'reason' | 'retryAfterMs'> {
    if (answer.error !== null) return answer.error
    if (!answer.whole) return { outcome: CallOutcome.CutOff, reason: 'no end mark', retryAfterMs: null }
    const { versions } = this.options
    if (!handler.checked || versions === null) return { outcome: CallOutcome.Answered, reason: '', retryAfterMs: null }
    const fault = findAnswerFault(answer.text, { model: team.models[0]!, versions, prompt: chatPrompt(call.prompt), seed: call.seed, maxTokens: call.maxTokens })
    if (fault === undefined) return { outcome: CallOutcome.Answered, reason: '', retryAfterMs: null }
    return { outcome: CallOutcome.Wrong, reason: fault, retryAfterMs: null }
  }

  /** An id that names its home, or a key of the caller's own where no home is known. */
  private createKey (home: string | null, call: PlannedCall): string {
    if (home === null) return `bench-${call.team}-${call.number}-${this.randomText()}`
    return formatRequestId(home, Date.now(), this.randomText())
  }

  private randomText (): string {
    return Array.from({ length: RANDOM_LENGTH }, () => ALPHABET[this.options.random.integer(ALPHABET.length)]).join('')
  }
}

type Judged = Pick<CallRecord, 'outcome' | 'reason' | 'requestId' | 'tokens' | 'firstTokenAtMs' | 'retryAfterMs'>

const NOTHING = { requestId: null, tokens: 0, firstTokenAtMs: null, retryAfterMs: null }

const EXCHANGE_OUTCOMES: Readonly<Record<Exclude<ExchangeKind, ExchangeKind.Response>, CallOutcome>> = {
  [ExchangeKind.NotSent]: CallOutcome.Unreachable,
  [ExchangeKind.Broken]: CallOutcome.CutOff,
  [ExchangeKind.TimedOut]: CallOutcome.TimedOut
}

function headerOf (response: Dispatcher.ResponseData, name: string): string | null {
  const value = response.headers[name]
  return typeof value === 'string' ? value : null
}
