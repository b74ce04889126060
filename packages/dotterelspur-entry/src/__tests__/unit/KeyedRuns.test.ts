import { expect } from 'chai'
import { OutcomeKind, OutcomeReason, StreamState, formatRequestId, homeOf, type RequestId } from 'dotterelspur'
import { MemoryFaultKind } from 'dotterelspur-testkit'
import type { ErrorBody } from '../../index.js'
import { ANSWER, gated } from '../fixtures/FakeEngines.js'
import { CHAT_BODY, callEntry, startHarness, type CallOptions, type Harness, type HarnessNode } from '../fixtures/harness.js'

const WHOLE = ANSWER.join('')
const MARK = { 'dotterelspur-non-idempotent': 'true' }

interface ChatAnswer {
  readonly choices: ReadonlyArray<{ readonly message: { readonly content: string } }>
}

/** What the caller received: the text of a whole answer, or `<outcome> <reason>`. */
async function chat (node: HarnessNode, headers: Record<string, string>, options: CallOptions = {}): Promise<string> {
  const response = await callEntry(node, '/v1/chat/completions', { body: CHAT_BODY, headers: { ...MARK, ...headers }, ...options })
  const body = await response.json() as ChatAnswer & ErrorBody
  return response.ok ? body.choices[0]!.message.content : `${body.error.outcome} ${body.error.type}`
}

describe('KeyedRuns', () => {
  let harness: Harness
  let a: HarnessNode
  let b: HarnessNode
  let sequence = 0

  beforeEach(async () => {
    harness = await startHarness({ nodes: ['node-a', 'node-b'] })
    a = harness.nodes[0]!
    b = harness.nodes[1]!
  })
  afterEach(() => harness.stop())

  /** A new id whose home is the node. */
  function idOf (node: HarnessNode): RequestId {
    sequence += 1
    return formatRequestId(homeOf(node.mesh.self), Date.now(), `random-${String(sequence).padStart(4, '0')}`)
  }

  interface Row {
    readonly fault: string
    /** Injects the fault and sends the requests; returns what the callers received, in the order of submission. */
    readonly act: () => Promise<string[]>
    readonly expected: readonly string[]
    readonly runs: number
  }

  const { Unknown, NotRun } = OutcomeKind
  const { HomeGone, StoreUnavailable, ClaimUnsettled, Draining, InvalidRequest } = OutcomeReason

  const rows: Row[] = [
    {
      fault: 'none: a request without a key',
      act: async () => [await chat(a, {})],
      expected: [WHOLE],
      runs: 1
    },
    {
      fault: 'none: an id sent to a node that is not its home',
      act: async () => [await chat(b, { 'idempotency-key': idOf(a) })],
      expected: [WHOLE],
      runs: 1
    },
    {
      fault: 'the same id sent again through another node, after the answer',
      act: async () => {
        const id = idOf(a)
        return [await chat(a, { 'idempotency-key': id }), await chat(b, { 'idempotency-key': id }), await chat(a, { 'idempotency-key': id })]
      },
      expected: [WHOLE, WHOLE, WHOLE],
      runs: 1
    },
    {
      fault: 'the same id sent again through another node, while it runs',
      act: async () => {
        const id = idOf(a)
        let open = (): void => {}
        harness.engines.next.push(gated(new Promise((resolve) => { open = resolve })))
        const first = chat(a, { 'idempotency-key': id })
        while (harness.engines.runs.length === 0) await new Promise(setImmediate)
        const second = chat(b, { 'idempotency-key': id })
        setTimeout(open, 20)
        return Promise.all([first, second])
      },
      expected: [WHOLE, WHOLE],
      runs: 1
    },
    {
      fault: 'the home restarted at the same address',
      act: async () => {
        const id = idOf(a)
        harness.network.nodes.delete(homeOf(a.mesh.self))
        await harness.startNode('node-a', 2)
        return [await chat(b, { 'idempotency-key': id }), await chat(harness.nodes[2]!, { 'idempotency-key': id })]
      },
      expected: [`${Unknown} ${HomeGone}`, `${Unknown} ${HomeGone}`],
      runs: 0
    },
    {
      fault: 'the home is gone, and the caller states that this is the first submission',
      act: async () => {
        const id = idOf(a)
        harness.network.nodes.delete(homeOf(a.mesh.self))
        return [await chat(b, { 'idempotency-key': id, 'dotterelspur-submission': '1' }), await chat(b, { 'idempotency-key': id, 'dotterelspur-submission': '2' })]
      },
      expected: [`${NotRun} ${HomeGone}`, `${Unknown} ${HomeGone}`],
      runs: 0
    },
    {
      fault: 'the home is gone, and an engine has the complete stream',
      act: async () => {
        const id = idOf(a)
        harness.network.nodes.delete(homeOf(a.mesh.self))
        harness.engines.lookupState = StreamState.Whole
        return [await chat(b, { 'idempotency-key': id })]
      },
      expected: [WHOLE],
      runs: 0
    },
    {
      fault: 'the home can\'t be reached',
      act: async () => {
        harness.network.cut.add(homeOf(a.mesh.self))
        return [await chat(b, { 'idempotency-key': idOf(a) })]
      },
      expected: [`${Unknown} ${HomeGone}`],
      runs: 0
    },
    {
      fault: 'none: a key of the caller\'s own, through two nodes',
      act: async () => [await chat(a, { 'idempotency-key': 'loan-4711' }), await chat(b, { 'idempotency-key': 'loan-4711' })],
      expected: [WHOLE, WHOLE],
      runs: 1
    },
    {
      fault: 'a key of the caller\'s own, through two nodes at once',
      act: async () => Promise.all([chat(a, { 'idempotency-key': 'loan-4712' }), chat(b, { 'idempotency-key': 'loan-4712' })]),
      expected: [WHOLE, WHOLE],
      runs: 1
    },
    {
      fault: 'the store is down',
      act: async () => {
        a.store.setFault(MemoryFaultKind.Down)
        return [await chat(a, { 'idempotency-key': 'loan-1' }), await chat(a, { 'idempotency-key': 'loan-2', 'dotterelspur-submission': '1' })]
      },
      expected: [`${Unknown} ${StoreUnavailable}`, `${NotRun} ${StoreUnavailable}`],
      runs: 0
    },
    {
      fault: 'the store is down, for an id that names its home',
      act: async () => {
        a.store.setFault(MemoryFaultKind.Down)
        return [await chat(a, { 'idempotency-key': idOf(a) })]
      },
      expected: [WHOLE],
      runs: 1
    },
    {
      fault: 'the response to the claim is lost after the write',
      act: async () => {
        a.store.setFault(MemoryFaultKind.UnknownApplied)
        return [await chat(a, { 'idempotency-key': 'loan-3' }), await chat(b, { 'idempotency-key': 'loan-3' })]
      },
      expected: [WHOLE, WHOLE],
      runs: 1
    },
    {
      fault: 'the claim is lost before the write',
      act: async () => {
        a.store.setFault(MemoryFaultKind.UnknownLost)
        return [await chat(a, { 'idempotency-key': 'loan-4' }), await chat(b, { 'idempotency-key': 'loan-4' })]
      },
      expected: [`${Unknown} ${ClaimUnsettled}`, WHOLE],
      runs: 1
    },
    {
      fault: 'the same id for another body',
      act: async () => {
        const id = idOf(a)
        const other = { body: { ...CHAT_BODY, messages: [{ role: 'user', content: 'something else' }] } }
        return [await chat(a, { 'idempotency-key': id }), await chat(a, { 'idempotency-key': id }, other)]
      },
      expected: [WHOLE, `${Unknown} ${InvalidRequest}`],
      runs: 1
    },
    {
      fault: 'the home drains',
      act: async () => {
        const id = idOf(a)
        a.entry.beginDrain()
        return [await chat(b, { 'idempotency-key': id }), await chat(a, {}), await chat(a, { 'idempotency-key': 'loan-5' }), await chat(a, { 'idempotency-key': 'loan-6', 'dotterelspur-submission': '1' })]
      },
      expected: [`${NotRun} ${Draining}`, `${NotRun} ${Draining}`, `${Unknown} ${Draining}`, `${NotRun} ${Draining}`],
      runs: 0
    },
    {
      fault: 'a draining node receives a key that refers to an id of another home',
      act: async () => {
        const first = await chat(a, { 'idempotency-key': 'loan-7' })
        b.entry.beginDrain()
        return [first, await chat(b, { 'idempotency-key': 'loan-7' })]
      },
      expected: [WHOLE, WHOLE],
      runs: 1
    }
  ]

  for (const row of rows) {
    it(row.fault, async () => {
      const received = await row.act()
      expect({ received, runs: harness.engines.runs.length }).to.deep.equal({ received: row.expected, runs: row.runs })
    })
  }

  // Guards against a request that runs although its caller received not-run and stopped retrying: a first copy is delayed between
  // node b and its home; the caller gives up on it and sends a second copy directly to the home, which refuses it; then the first
  // copy arrives. Without a ticket, the home can't distinguish a delayed copy from one that was sent after the refusal.
  it('does not run a copy that was in transit when the home refused another as not-run', async () => {
    const id = idOf(a)
    let release = (): void => {}
    harness.network.delays.set('request.run', new Promise((resolve) => { release = resolve }))
    const first = chat(b, { 'idempotency-key': id })
    while (harness.network.delayedCalls === 0) await new Promise(setImmediate)
    harness.setPresent(false)
    expect(await chat(a, { 'idempotency-key': id })).to.equal(`${NotRun} ${OutcomeReason.NoReplica}`)
    harness.setPresent(true)
    release()
    expect(await first).to.equal(`${NotRun} ${OutcomeReason.NoReplica}`)
    expect(harness.engines.runs).to.deep.equal([])
    expect(await chat(a, { 'idempotency-key': id })).to.equal(WHOLE)
  })

  it('never returns one team\'s answer or outcome to another team', async () => {
    const id = idOf(a)
    expect(await chat(a, { 'idempotency-key': id })).to.equal(WHOLE)
    const foreign = await callEntry(a, `/v1/requests/${id}`, { team: 'piedmont' })
    expect(foreign.status).to.equal(404)
    const own = await callEntry(b, `/v1/requests/${id}`)
    expect(await own.json()).to.deep.include({ requestId: id, state: 'ended' })
  })

  it('finishes a non-idempotent request after its caller disconnects, and returns its answer later', async () => {
    const id = idOf(a)
    let open = (): void => {}
    harness.engines.next.push(gated(new Promise((resolve) => { open = resolve })))
    const abort = new AbortController()
    const gone = callEntry(a, '/v1/chat/completions', { body: CHAT_BODY, headers: { ...MARK, 'idempotency-key': id }, signal: abort.signal }).catch(() => {})
    while (harness.engines.runs.length === 0) await new Promise(setImmediate)
    abort.abort()
    await gone
    open()
    expect(await chat(b, { 'idempotency-key': id })).to.equal(WHOLE)
    expect({ runs: harness.engines.runs.length, cancelled: harness.engines.cancelled }).to.deep.equal({ runs: 1, cancelled: [] })
  })
})
