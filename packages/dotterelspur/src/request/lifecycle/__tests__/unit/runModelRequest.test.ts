import { expect } from 'chai'
import {
  ChunkKind, EndpointErrorKind, FinishReason, InterruptKind, OutcomeKind, OutcomeReason, RequestSafety, StreamEventKind, StreamState,
  failed, notRun, runModelRequest, runProcedure, success,
  type EndpointError, type GenerateChunk, type GroupView, type ModelEffects, type ModelResult, type NextEvent, type EffectHandlers
} from '../../../../index.js'

const REQUEST = 'node-a.1.abc.random01'
const TOKENS = ['ro', 'ute', ' of', ' the', ' day', '.']
const WHOLE = TOKENS.join('')
const { Idempotent, NonIdempotent } = RequestSafety

type EngineScript = (attempt: number, resumeOffset: number) => NextEvent[]

interface Scenario {
  /** Events that each group's engine sends in response to the request. */
  readonly engines: Readonly<Record<string, EngineScript>>
  /** State found by each stream lookup, in order; the last one repeats. Null: the endpoint is unreachable. */
  readonly lookups?: ReadonlyArray<StreamState | null>
  /** Events of the stream after it is resumed. */
  readonly resumed?: EngineScript
  /** Number of sends that find the selection stale. */
  readonly staleSends?: number
  readonly retryBudget?: number
  readonly callerReceives?: boolean
}

function tokens (from: number, to: number, attempt: number, requestId = REQUEST, texts = TOKENS): NextEvent[] {
  return texts.slice(from, to).map((text, index) => chunk({ kind: ChunkKind.Tokens, requestId, attempt, offset: from + index, tokens: 1, text }))
}

function chunk (value: GenerateChunk): NextEvent {
  return { kind: StreamEventKind.Chunk, chunk: value }
}

function end (offset: number, attempt: number, finishReason = FinishReason.Stop): NextEvent {
  return chunk({ kind: ChunkKind.End, requestId: REQUEST, attempt, offset, finishReason, promptTokens: 3 })
}

function error (value: EndpointError): NextEvent {
  return { kind: StreamEventKind.Error, error: value }
}

const healthy: EngineScript = (attempt, from) => [...tokens(from, 6, attempt), end(6, attempt)]
const refuses: EngineScript = () => [error({ kind: EndpointErrorKind.WrongFormation, reason: 'at formation 4' })]
const full: EngineScript = () => [error({ kind: EndpointErrorKind.Refused, reason: 'full', retryAfterMs: 70 })]
const breaks = (at: number): EngineScript => (attempt, from) => [...tokens(from, at, attempt), error({ kind: EndpointErrorKind.Broken, reason: 'connection reset', offset: at })]
const ambiguous: EngineScript = () => [error({ kind: EndpointErrorKind.Ambiguous, reason: 'no reply' })]
const silent = (at: number): EngineScript => (attempt, from) => [...tokens(from, at, attempt), null]
const interrupted = (at: number, kind: InterruptKind): EngineScript => (attempt, from) => [...tokens(from, at, attempt), { kind }]
const silence: NextEvent = { kind: InterruptKind.Stalled }
/** Is reported as silent `reports` times before it goes on. */
const pauses = (at: number, reports = 1): EngineScript => (attempt, from) => [...tokens(from, at, attempt), ...Array.from({ length: reports }, () => silence), ...healthy(attempt, Math.max(from, at))]
const staysSilent = (at: number): EngineScript => pauses(at, 50)
const diverges: EngineScript = (attempt, from) => [...tokens(from, 6, attempt, REQUEST, ['x', 'y', 'z', 'u', 'v', 'w']), end(6, attempt)]
const failsWith = (status: number): EngineScript => () => [error({ kind: EndpointErrorKind.Failed, reason: 'failed', status })]

interface Run {
  readonly result: ModelResult
  readonly text: string
  /** `group@offset` of each send. */
  readonly sends: string[]
  readonly deliveredOffsets: number[]
  /** Attempts that were cancelled at their engines. */
  readonly cancelled: number[]
  readonly openStreams: number
}

function view (group: string): GroupView {
  return {
    group,
    formation: 3,
    team: 'tradeline',
    model: 'summary',
    version: '1',
    adapters: [],
    region: 'perth',
    failureDomain: 'fd-1',
    fabricDomain: 'fabric-1',
    leaderAddress: `http://${group}`,
    load: { running: 0, waiting: 0, capacity: 8, cacheUsed: 0, ageMs: 0 },
    evidenceAgeMs: 0
  }
}

async function runScenario (scenario: Scenario, safety: RequestSafety): Promise<Run> {
  const sends: string[] = []
  const deliveredOffsets: number[] = []
  let text = ''
  const cancelled: number[] = []
  /** Events of the open streams by attempt; the stream that was read least recently is first. */
  const streams = new Map<number, NextEvent[]>()
  let lookupCount = 0
  let stale = scenario.staleSends ?? 0
  let budget = scenario.retryBudget ?? 10
  const handlers: EffectHandlers<ModelEffects> = {
    'select-group': ({ excluded }) => {
      const group = Object.keys(scenario.engines).find((name) => !excluded.includes(name))
      return group === undefined ? failed(notRun(OutcomeReason.NoReplica, 'no group')) : success(view(group))
    },
    send: ({ group, attempt, resumeOffset }) => {
      if (stale > 0) {
        stale -= 1
        return false
      }
      sends.push(`${group.group}@${resumeOffset}`)
      streams.set(attempt, scenario.engines[group.group]!(attempt, resumeOffset))
      return true
    },
    resume: ({ attempt, offset }) => { streams.set(attempt, (scenario.resumed ?? healthy)(attempt, offset)) },
    'next-event': () => {
      const [attempt, events] = [...streams][0]!
      streams.delete(attempt)
      streams.set(attempt, events)
      return { attempt, event: events.shift() ?? null }
    },
    'close-stream': ({ attempt, cancel }) => {
      streams.delete(attempt)
      if (cancel) cancelled.push(attempt)
    },
    lookup: () => {
      const states = scenario.lookups ?? []
      const state = states[Math.min(lookupCount, states.length - 1)]
      lookupCount += 1
      if (state === undefined || state === null) return failed({ kind: EndpointErrorKind.NotRun, reason: 'unreachable' })
      return success({ requestId: REQUEST, state, offset: 6 })
    },
    'judge-request': () => true,
    'spend-retry': () => {
      budget -= 1
      return budget >= 0
    },
    wait: () => null,
    deliver: (effect) => {
      deliveredOffsets.push(effect.offset)
      text += effect.text
    },
    'start-again': () => {
      if (scenario.callerReceives ?? true) return false
      text = ''
      deliveredOffsets.length = 0
      return true
    }
  }
  const plan = { requestId: REQUEST, safety, maxAttempts: 3, maxLookups: 3, retryDelayMs: 100, maxFailedSelections: 4 }
  const result = await runProcedure(runModelRequest(plan), handlers)
  return { result, text, sends, deliveredOffsets, cancelled, openStreams: streams.size }
}

interface Row {
  readonly fault: string
  readonly moment: string
  readonly safety: RequestSafety
  readonly scenario: Scenario
  readonly outcome: OutcomeKind
  readonly reason?: OutcomeReason
  readonly sends: readonly string[]
  readonly cancelled?: readonly number[]
}

const { Answered, NotRun, Unknown, Failed } = OutcomeKind
const rows: Row[] = [
  { fault: 'none', moment: '-', safety: Idempotent, scenario: { engines: { g1: healthy } }, outcome: Answered, sends: ['g1@0'] },
  { fault: 'none', moment: '-', safety: NonIdempotent, scenario: { engines: { g1: healthy } }, outcome: Answered, sends: ['g1@0'] },
  { fault: 'no group', moment: 'before the send', safety: NonIdempotent, scenario: { engines: {} }, outcome: NotRun, reason: OutcomeReason.NoReplica, sends: [] },
  { fault: 'node paused, selection stale', moment: 'before the send', safety: NonIdempotent, scenario: { engines: { g1: healthy }, staleSends: 2 }, outcome: Answered, sends: ['g1@0'] },
  { fault: 'selection always stale', moment: 'before the send', safety: NonIdempotent, scenario: { engines: { g1: healthy }, staleSends: 99 }, outcome: NotRun, sends: [] },
  { fault: 'engine at another formation', moment: 'at the send', safety: NonIdempotent, scenario: { engines: { g1: refuses, g2: healthy } }, outcome: Answered, sends: ['g1@0', 'g2@0'] },
  { fault: 'every engine refuses', moment: 'at the send', safety: NonIdempotent, scenario: { engines: { g1: full, g2: full, g3: full, g4: healthy } }, outcome: NotRun, reason: OutcomeReason.Overloaded, sends: ['g1@0', 'g2@0', 'g3@0'] },
  { fault: 'connection breaks', moment: 'between write and reply', safety: Idempotent, scenario: { engines: { g1: ambiguous, g2: healthy } }, outcome: Answered, sends: ['g1@0', 'g2@0'] },
  { fault: 'connection breaks', moment: 'between write and reply', safety: NonIdempotent, scenario: { engines: { g1: ambiguous, g2: healthy }, lookups: [StreamState.Absent] }, outcome: Unknown, reason: OutcomeReason.StreamBroken, sends: ['g1@0'] },
  { fault: 'connection breaks, request runs', moment: 'between write and reply', safety: NonIdempotent, scenario: { engines: { g1: ambiguous }, lookups: [StreamState.Absent, StreamState.Running] }, outcome: Answered, sends: ['g1@0'] },
  { fault: 'connection breaks, endpoint gone', moment: 'between write and reply', safety: NonIdempotent, scenario: { engines: { g1: ambiguous, g2: healthy }, lookups: [null] }, outcome: Unknown, sends: ['g1@0'] },
  { fault: 'refusal after a lost send', moment: 'at the second send', safety: Idempotent, scenario: { engines: { g1: ambiguous, g2: refuses, g3: refuses } }, outcome: Unknown, sends: ['g1@0', 'g2@0', 'g3@0'] },
  { fault: 'replica fails', moment: 'mid-answer', safety: Idempotent, scenario: { engines: { g1: breaks(3), g2: healthy } }, outcome: Answered, sends: ['g1@0', 'g2@2'] },
  { fault: 'replica fails', moment: 'mid-answer', safety: NonIdempotent, scenario: { engines: { g1: breaks(3), g2: healthy }, lookups: [null] }, outcome: Unknown, sends: ['g1@0'] },
  { fault: 'connection breaks', moment: 'mid-answer', safety: NonIdempotent, scenario: { engines: { g1: breaks(3), g2: healthy }, lookups: [StreamState.Whole] }, outcome: Answered, sends: ['g1@0'] },
  { fault: 'engine cancelled the request', moment: 'mid-answer', safety: NonIdempotent, scenario: { engines: { g1: breaks(3), g2: healthy }, lookups: [StreamState.Cancelled] }, outcome: Failed, sends: ['g1@0'] },
  { fault: 'stream ends without an end chunk', moment: 'mid-answer', safety: Idempotent, scenario: { engines: { g1: silent(4), g2: healthy } }, outcome: Answered, sends: ['g1@0', 'g2@3'] },
  { fault: 'stream stalls', moment: 'mid-answer', safety: Idempotent, scenario: { engines: { g1: interrupted(2, InterruptKind.Stalled), g2: healthy } }, outcome: Answered, sends: ['g1@0', 'g2@1'] },
  { fault: 'engine pauses, no other group', moment: 'before the first chunk', safety: Idempotent, scenario: { engines: { g1: pauses(0) } }, outcome: Answered, sends: ['g1@0'] },
  { fault: 'engine pauses, no other group', moment: 'mid-answer', safety: Idempotent, scenario: { engines: { g1: pauses(2) } }, outcome: Answered, sends: ['g1@0'] },
  { fault: 'engine pauses, retry budget spent', moment: 'mid-answer', safety: Idempotent, scenario: { retryBudget: 0, engines: { g1: pauses(2), g2: healthy } }, outcome: Answered, sends: ['g1@0'] },
  { fault: 'engine pauses, attempts used up', moment: 'mid-answer', safety: Idempotent, scenario: { engines: { g1: breaks(1), g2: breaks(2), g3: pauses(3), g4: healthy } }, outcome: Answered, sends: ['g1@0', 'g2@0', 'g3@1'] },
  { fault: 'engine pauses', moment: 'mid-answer', safety: NonIdempotent, scenario: { engines: { g1: pauses(2), g2: healthy }, lookups: [null] }, outcome: Answered, sends: ['g1@0'] },
  { fault: 'engine pauses', moment: 'before the first chunk', safety: NonIdempotent, scenario: { engines: { g1: pauses(0), g2: healthy }, lookups: [null] }, outcome: Answered, sends: ['g1@0'] },
  { fault: 'engine stays silent', moment: 'before the first chunk', safety: Idempotent, scenario: { engines: { g1: staysSilent(0), g2: healthy } }, outcome: Answered, sends: ['g1@0', 'g2@0'], cancelled: [1] },
  { fault: 'engine stays silent', moment: 'mid-answer', safety: Idempotent, scenario: { engines: { g1: staysSilent(2), g2: healthy } }, outcome: Answered, sends: ['g1@0', 'g2@1'], cancelled: [1] },
  { fault: 'engine stays silent', moment: 'before the end chunk', safety: Idempotent, scenario: { engines: { g1: staysSilent(6), g2: healthy } }, outcome: Answered, sends: ['g1@0', 'g2@5'], cancelled: [1] },
  { fault: 'engine pauses, second engine silent', moment: 'mid-answer', safety: Idempotent, scenario: { engines: { g1: pauses(2, 3), g2: staysSilent(2) } }, outcome: Answered, sends: ['g1@0', 'g2@1'], cancelled: [2] },
  { fault: 'two engines stay silent', moment: 'mid-answer', safety: Idempotent, scenario: { engines: { g1: staysSilent(2), g2: staysSilent(2), g3: healthy } }, outcome: Answered, sends: ['g1@0', 'g2@1', 'g3@1'], cancelled: [1, 2] },
  { fault: 'engine pauses, other groups refuse', moment: 'mid-answer', safety: Idempotent, scenario: { engines: { g1: pauses(2, 9), g2: full, g3: refuses } }, outcome: Answered, sends: ['g1@0', 'g2@1', 'g3@1'] },
  { fault: 'engine pauses, second engine disagrees', moment: 'mid-answer', safety: Idempotent, scenario: { engines: { g1: pauses(2, 3), g2: diverges } }, outcome: Answered, sends: ['g1@0', 'g2@1'], cancelled: [2] },
  { fault: 'engine pauses, second engine reports a client error', moment: 'mid-answer', safety: Idempotent, scenario: { engines: { g1: pauses(2, 3), g2: failsWith(400) } }, outcome: Answered, sends: ['g1@0', 'g2@1'] },
  { fault: 'silent engine breaks, second engine pauses', moment: 'mid-answer', safety: Idempotent, scenario: { engines: { g1: (a) => [...tokens(0, 2, a), silence, error({ kind: EndpointErrorKind.Broken, reason: 'reset', offset: 2 })], g2: pauses(2) } }, outcome: Answered, sends: ['g1@0', 'g2@1'] },
  { fault: 'all engines silent, deadline passes', moment: 'mid-answer', safety: Idempotent, scenario: { engines: { g1: staysSilent(2), g2: (a, from) => [...tokens(from, 2, a), silence, { kind: InterruptKind.Deadline }] } }, outcome: Unknown, reason: OutcomeReason.DeadlineExceeded, sends: ['g1@0', 'g2@1'], cancelled: [1, 2] },
  { fault: 'silent engine and second engine refuse', moment: 'before the first chunk', safety: Idempotent, scenario: { engines: { g1: (a) => [silence, ...full(a, 0)], g2: full, g3: full } }, outcome: NotRun, reason: OutcomeReason.Overloaded, sends: ['g1@0', 'g2@0', 'g3@0'] },
  { fault: 'connection no longer brings what the engine produces', moment: 'mid-answer', safety: NonIdempotent, scenario: { engines: { g1: staysSilent(2), g2: healthy }, lookups: [StreamState.Running] }, outcome: Answered, sends: ['g1@0'] },
  { fault: 'engine cancelled the request and is silent', moment: 'mid-answer', safety: NonIdempotent, scenario: { engines: { g1: staysSilent(2), g2: healthy }, lookups: [StreamState.Cancelled] }, outcome: Failed, sends: ['g1@0'] },
  { fault: 'engine stays silent, deadline passes', moment: 'mid-answer', safety: NonIdempotent, scenario: { engines: { g1: (a) => [...tokens(0, 2, a), silence, silence, { kind: InterruptKind.Deadline }], g2: healthy }, lookups: [StreamState.Absent] }, outcome: Unknown, reason: OutcomeReason.DeadlineExceeded, sends: ['g1@0'], cancelled: [] },
  { fault: 'chunk missing', moment: 'mid-answer', safety: Idempotent, scenario: { engines: { g1: (a) => [...tokens(0, 2, a), ...tokens(3, 6, a), end(6, a)], g2: healthy } }, outcome: Answered, sends: ['g1@0', 'g2@1'] },
  { fault: 'chunks reordered', moment: 'mid-answer', safety: Idempotent, scenario: { engines: { g1: (a) => [...tokens(0, 1, a), ...tokens(2, 3, a), ...tokens(1, 2, a)], g2: healthy } }, outcome: Answered, sends: ['g1@0', 'g2@0'] },
  { fault: 'chunks duplicated', moment: 'mid-answer', safety: NonIdempotent, scenario: { engines: { g1: (a) => [...tokens(0, 3, a), ...tokens(1, 3, a), ...tokens(3, 6, a), end(6, a)] } }, outcome: Answered, sends: ['g1@0'] },
  { fault: 'chunk of another request', moment: 'mid-answer', safety: Idempotent, scenario: { engines: { g1: (a) => [...tokens(0, 2, a), ...tokens(2, 3, a, 'other.1.abc.random02')], g2: healthy } }, outcome: Answered, sends: ['g1@0', 'g2@1'] },
  { fault: 'late chunk of the first attempt', moment: 'in the second attempt', safety: Idempotent, scenario: { engines: { g1: breaks(2), g2: (a, from) => [...tokens(2, 4, 1), ...tokens(from, 6, a), end(6, a)] } }, outcome: Answered, sends: ['g1@0', 'g2@1'] },
  { fault: 'end chunk too early', moment: 'at the end', safety: Idempotent, scenario: { engines: { g1: (a) => [...tokens(0, 4, a), end(6, a)], g2: healthy } }, outcome: Answered, sends: ['g1@0', 'g2@3'] },
  { fault: 'end chunk lost', moment: 'at the end', safety: Idempotent, scenario: { engines: { g1: (a) => tokens(0, 6, a), g2: healthy } }, outcome: Answered, sends: ['g1@0', 'g2@5'] },
  { fault: 'engines disagree, caller has received tokens', moment: 'in the second attempt', safety: Idempotent, scenario: { engines: { g1: breaks(3), g2: (a, from) => [...tokens(from, 6, a, REQUEST, ['x', 'y', 'z', 'u', 'v', 'w']), end(6, a)] } }, outcome: Unknown, reason: OutcomeReason.StreamBroken, sends: ['g1@0', 'g2@2'] },
  { fault: 'engines disagree, caller has received nothing', moment: 'in the second attempt', safety: Idempotent, scenario: { callerReceives: false, engines: { g1: breaks(3), g2: (a, from) => from === 0 ? healthy(a, 0) : tokens(from, 6, a, REQUEST, ['x', 'y', 'z', 'u', 'v', 'w']), g3: healthy } }, outcome: Answered, sends: ['g1@0', 'g2@2', 'g3@0'] },
  { fault: 'only replica fails and recovers', moment: 'mid-answer', safety: Idempotent, scenario: { engines: { g1: (a, from) => a === 1 ? breaks(2)(a, from) : healthy(a, from) } }, outcome: Answered, sends: ['g1@0', 'g1@1'] },
  { fault: 'retry budget spent', moment: 'mid-answer', safety: Idempotent, scenario: { retryBudget: 0, engines: { g1: breaks(2), g2: healthy } }, outcome: Unknown, reason: OutcomeReason.RetryBudgetExhausted, sends: ['g1@0'] },
  { fault: 'caller disconnects', moment: 'mid-answer', safety: Idempotent, scenario: { engines: { g1: interrupted(2, InterruptKind.CallerGone), g2: healthy } }, outcome: Unknown, reason: OutcomeReason.Cancelled, sends: ['g1@0'] },
  { fault: 'deadline passes', moment: 'before the first chunk', safety: NonIdempotent, scenario: { engines: { g1: interrupted(0, InterruptKind.Deadline), g2: healthy } }, outcome: Unknown, reason: OutcomeReason.DeadlineExceeded, sends: ['g1@0'] },
  { fault: 'caller disconnects after the end chunk', moment: 'at the end', safety: Idempotent, scenario: { engines: { g1: (a) => [...healthy(a, 0), { kind: InterruptKind.CallerGone }] } }, outcome: Answered, sends: ['g1@0'] },
  { fault: 'engine reports a failure', moment: 'at the send', safety: NonIdempotent, scenario: { engines: { g1: () => [error({ kind: EndpointErrorKind.Failed, reason: 'out of memory', status: 500 })], g2: healthy } }, outcome: Failed, sends: ['g1@0'] },
  { fault: 'engine reports a failure', moment: 'at the send', safety: Idempotent, scenario: { engines: { g1: () => [error({ kind: EndpointErrorKind.Failed, reason: 'out of memory', status: 500 })], g2: healthy } }, outcome: Answered, sends: ['g1@0', 'g2@0'] },
  { fault: 'client error', moment: 'at the send', safety: Idempotent, scenario: { engines: { g1: () => [error({ kind: EndpointErrorKind.Failed, reason: 'too long', status: 400 })], g2: healthy } }, outcome: Failed, sends: ['g1@0'] },
  { fault: 'malformed response', moment: 'at the send', safety: NonIdempotent, scenario: { engines: { g1: () => [error({ kind: EndpointErrorKind.Malformed, reason: 'not JSON' })], g2: healthy }, lookups: [StreamState.Absent] }, outcome: Unknown, sends: ['g1@0'] }
]

describe('runModelRequest', () => {
  for (const row of rows) {
    it(`${row.safety}: ${row.fault}, ${row.moment} -> ${row.outcome}`, async () => {
      const { result, text, sends, deliveredOffsets, cancelled, openStreams } = await runScenario(row.scenario, row.safety)
      expect({ outcome: result.outcome.kind, sends }).to.deep.equal({ outcome: row.outcome, sends: row.sends })
      expect(openStreams, 'open streams').to.equal(0)
      if (row.cancelled !== undefined) expect(cancelled).to.deep.equal(row.cancelled)
      if (row.reason !== undefined) expect(result.outcome.reason).to.equal(row.reason)
      if (row.outcome === Answered) expect({ text, tokens: result.completionTokens }).to.deep.equal({ text: WHOLE, tokens: 6 })
      expect(WHOLE.startsWith(text), `delivered ${JSON.stringify(text)}`).to.equal(true)
      expect(deliveredOffsets).to.deep.equal([...new Set(deliveredOffsets)].sort((a, b) => a - b))
    })
  }
})
