import { expect } from 'chai'
import { EXCHANGE_RULES, ExchangeEnd } from '../../ExchangeEnd.js'
import { RefusalReason, type PlacementRefusal } from '../../Placement.js'
import type { DispatchTarget } from '../../TargetPool.js'
import { DispatchEffectKind, DispatchEndKind, runDispatch, type DispatchEnd, type DispatchOptions, type ExchangeReport } from '../../runDispatch.js'

const FULL: PlacementRefusal = { reason: RefusalReason.Full, retryAfterMs: 100, basis: null, inNeed: [] }

interface Script {
  readonly order: DispatchOptions
  readonly exchanges: readonly ExchangeReport[]
  /** Reports of exchanges that stay open. */
  readonly awaited?: readonly ExchangeReport[]
  /** Endpoints that can be placed before the refusal comes. */
  readonly endpoints?: number
  readonly budget?: number
  /** Losses after which the request is still trusted. */
  readonly trustedLosses?: number
}

function createTarget (name: string): DispatchTarget {
  return { endpoint: name, service: 's', address: '10.0.0.1:1', failureDomain: 'a', model: null, slots: 6 }
}

function play ({ order, exchanges, awaited = [], endpoints = 9, budget = 9, trustedLosses = 9 }: Script): { end: DispatchEnd, sent: string[], excluded: string[][] } {
  const steps = runDispatch(order)
  const sent: string[] = []
  /** The endpoints that each placement leaves out. */
  const excluded: string[][] = []
  let placed = 0
  let spent = 0
  let judged = 0
  let waits = 0
  let step = steps.next()
  while (step.done !== true) {
    if (step.value.kind === DispatchEffectKind.Place) {
      excluded.push(step.value.excluded.map(({ endpoint }) => endpoint))
      step = steps.next(placed < endpoints ? createTarget(`e${++placed}`) : FULL)
    } else if (step.value.kind === DispatchEffectKind.SpendRetry) step = steps.next(spent++ < budget)
    else if (step.value.kind === DispatchEffectKind.JudgeLoss) step = steps.next(judged++ < trustedLosses)
    else if (step.value.kind === DispatchEffectKind.AwaitOpen) step = steps.next(awaited[waits++] ?? ended(ExchangeEnd.TimedOut))
    else {
      sent.push(step.value.target.endpoint)
      step = steps.next(exchanges[sent.length - 1] ?? ended(ExchangeEnd.Answered))
    }
  }
  return { end: step.value, sent, excluded }
}

function ended (end: ExchangeEnd, hasPartialResponse = false): ExchangeReport {
  return { end, hasPartialResponse, hasOpenExchange: false, isUnsent: false, superseded: [] }
}

/** A report beside which other exchanges are open, or that of a silent one. */
function reportedBesideOpen (end: ExchangeEnd, hasPartialResponse = true): ExchangeReport {
  return { end, hasPartialResponse, hasOpenExchange: true, isUnsent: false, superseded: [] }
}

const AT_MOST_ONCE: DispatchOptions = { retryable: false, maxAttempts: 3 }
const RETRYABLE: DispatchOptions = { retryable: true, maxAttempts: 3 }

describe('runDispatch', () => {
  for (const end of Object.values(ExchangeEnd)) {
    const rule = EXCHANGE_RULES[end]

    it(`retries a request that must run at most once after ${end} only when it proves not run`, () => {
      const { sent } = play({ order: AT_MOST_ONCE, exchanges: [ended(end)] })
      expect(sent.length).to.equal(rule.provesNotRun && rule.mayRetryElsewhere ? 2 : 1)
    })

    it(`never reports not run after ${end} that does not prove it`, () => {
      const { end: result } = play({ order: { ...RETRYABLE, maxAttempts: 1 }, exchanges: [ended(end)] })
      if (!rule.provesNotRun) expect(result.kind).not.to.equal(DispatchEndKind.NotRun)
      else expect(result.kind).to.equal(DispatchEndKind.NotRun)
    })

    it(`retries nothing after ${end} when the request is suspected of crashing its endpoint`, () => {
      const { sent } = play({ order: RETRYABLE, exchanges: [ended(end)], trustedLosses: 0 })
      expect(sent.length).to.equal(1)
    })

    it(`reports an answer that ${end} leaves incomplete as cut off`, () => {
      const { end: result } = play({ order: { ...RETRYABLE, maxAttempts: 1 }, exchanges: [ended(end, true)] })
      const whole = end === ExchangeEnd.Answered ? DispatchEndKind.Delivered : DispatchEndKind.CutOff
      expect(result.kind).to.equal(end === ExchangeEnd.CallerLeft ? DispatchEndKind.CallerLeft : whole)
    })
  }

  it('never reports not run once a first exchange may have run, whatever the next ones prove', () => {
    const { end, sent } = play({ order: RETRYABLE, exchanges: [ended(ExchangeEnd.BrokenOff), ended(ExchangeEnd.Rejected), ended(ExchangeEnd.NotConnected)] })
    expect(sent).to.have.length(3)
    expect(end.kind).to.equal(DispatchEndKind.Unknown)
  })

  it('respects the maximum attempts of the route', () => {
    const { sent } = play({ order: { ...RETRYABLE, maxAttempts: 2 }, exchanges: [ended(ExchangeEnd.BrokenOff), ended(ExchangeEnd.BrokenOff)] })
    expect(sent).to.deep.equal(['e1', 'e2'])
  })

  it('stops when the retry budget is used up', () => {
    const { end, sent } = play({ order: RETRYABLE, exchanges: [ended(ExchangeEnd.Rejected)], budget: 0 })
    expect(sent).to.have.length(1)
    expect(end.kind).to.equal(DispatchEndKind.NotRun)
  })

  it('refuses at once, without an exchange, when no endpoint is worth waiting for', () => {
    const { end, sent } = play({ order: RETRYABLE, exchanges: [], endpoints: 0 })
    expect(sent).to.deep.equal([])
    expect(end).to.deep.include({ kind: DispatchEndKind.NotRun, refusal: FULL })
  })

  it('forwards an endpoint\'s own failure when no better response came', () => {
    const { end } = play({ order: { ...RETRYABLE, maxAttempts: 1 }, exchanges: [ended(ExchangeEnd.Failed)] })
    expect(end.kind).to.equal(DispatchEndKind.DeliverFailure)
  })

  // Guards against streams that end while their endpoint has only paused: silence ended an exchange that could not be continued elsewhere.
  for (const [reason, script] of Object.entries({
    'the attempts are used up': { order: { ...RETRYABLE, maxAttempts: 1 } },
    'the retry budget is used up': { order: RETRYABLE, budget: 0 },
    'no other endpoint takes requests': { order: RETRYABLE, endpoints: 1 },
    'the request may run only once': { order: AT_MOST_ONCE }
  })) {
    it(`waits for an endpoint that is silent when ${reason}`, () => {
      const { end, sent } = play({ ...script, exchanges: [reportedBesideOpen(ExchangeEnd.Silent)], awaited: [ended(ExchangeEnd.Answered, true)] })
      expect(sent).to.deep.equal(['e1'])
      expect(end.kind).to.equal(DispatchEndKind.Delivered)
    })
  }

  it('tries another endpoint beside one that is silent, and waits for either', () => {
    const { end, sent } = play({ order: RETRYABLE, exchanges: [reportedBesideOpen(ExchangeEnd.Silent), reportedBesideOpen(ExchangeEnd.NotConnected)], endpoints: 2, awaited: [ended(ExchangeEnd.Answered, true)] })
    expect(sent).to.deep.equal(['e1', 'e2'])
    expect(end).to.deep.include({ kind: DispatchEndKind.Delivered, attempts: 2 })
  })

  it('does not count an endpoint to which nothing was sent as an attempt', () => {
    // Guards against a request that ends at a lost endpoint, because another one was placed and not used while the first broke off.
    const { end, sent } = play({ order: { ...RETRYABLE, maxAttempts: 2 }, exchanges: [reportedBesideOpen(ExchangeEnd.Silent), { ...ended(ExchangeEnd.BrokenOff, true), isUnsent: true }, ended(ExchangeEnd.Answered, true)] })
    expect(sent).to.have.length(3)
    expect(end).to.deep.include({ kind: DispatchEndKind.Delivered, attempts: 2 })
  })

  it('may try an endpoint again whose exchange was superseded, as another attempt', () => {
    const superseding = { ...ended(ExchangeEnd.BrokenOff, true), superseded: [{ target: createTarget('e2'), isUnsent: false }] }
    const { end, excluded } = play({ order: RETRYABLE, exchanges: [reportedBesideOpen(ExchangeEnd.Silent), superseding] })
    expect(excluded).to.deep.equal([[], ['e1'], ['e1']])
    expect(end).to.deep.include({ kind: DispatchEndKind.Delivered, attempts: 3 })
  })

  it('is not sent more often than the maximum attempts, whichever exchanges were superseded', () => {
    const superseding = { ...ended(ExchangeEnd.BrokenOff, true), superseded: [{ target: createTarget('e2'), isUnsent: false }] }
    const { end, sent } = play({ order: { ...RETRYABLE, maxAttempts: 2 }, exchanges: [reportedBesideOpen(ExchangeEnd.Silent), superseding] })
    expect(sent).to.deep.equal(['e1', 'e2'])
    expect(end.kind).to.equal(DispatchEndKind.CutOff)
  })

  it('does not count an exchange as an attempt that was superseded before it was sent', () => {
    const superseding = { ...ended(ExchangeEnd.BrokenOff, true), superseded: [{ target: createTarget('e2'), isUnsent: true }] }
    const { end, excluded } = play({ order: { ...RETRYABLE, maxAttempts: 2 }, exchanges: [reportedBesideOpen(ExchangeEnd.Silent), superseding] })
    expect(excluded).to.deep.equal([[], ['e1'], ['e1']])
    expect(end).to.deep.include({ kind: DispatchEndKind.Delivered, attempts: 2 })
  })

  it('reports not run when every exchange that was silent has proved it at its end', () => {
    const { end } = play({ order: { ...RETRYABLE, maxAttempts: 2 }, exchanges: [reportedBesideOpen(ExchangeEnd.Silent, false), reportedBesideOpen(ExchangeEnd.Rejected, false)], awaited: [ended(ExchangeEnd.Rejected)] })
    expect(end.kind).to.equal(DispatchEndKind.NotRun)
  })

  it('reports a response as cut off only once no exchange is open', () => {
    const { end } = play({ order: { ...RETRYABLE, maxAttempts: 1 }, exchanges: [reportedBesideOpen(ExchangeEnd.Silent)], awaited: [reportedBesideOpen(ExchangeEnd.Silent), ended(ExchangeEnd.TimedOut, true)] })
    expect(end.kind).to.equal(DispatchEndKind.CutOff)
  })
})
