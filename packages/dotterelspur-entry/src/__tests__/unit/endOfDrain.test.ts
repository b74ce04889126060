import { expect } from 'chai'
import { formatRequestId, type StreamEvent } from 'dotterelspur'
import { tokenEvents, type ServiceBehaviour } from '../fixtures/FakeEngines.js'
import { CHAT_BODY, callEntry, startHarness, type Harness, type HarnessNode } from '../fixtures/harness.js'

/** More than the services take at a time. */
const CALLS = 12

interface Ended {
  readonly status: number
  readonly type: string
  readonly outcome: string
}

async function ended (response: Response): Promise<Ended> {
  const { error: { type, outcome } } = await response.json() as { error: { type: string, outcome: string } }
  return { status: response.status, type, outcome }
}

/** Workers that answer no call; resolves `running` once one has the first. */
function holdCalls ({ services }: Harness): Promise<void> {
  return new Promise((resolve) => {
    const hold: ServiceBehaviour = () => {
      resolve()
      return new Promise(() => {})
    }
    for (const address of ['http://w1', 'http://w2']) services.behaviours.set(address, hold)
  })
}

function lend (node: HarnessNode, key: string | null = null): Promise<Response> {
  return callEntry(node, '/services/desk/loans', { body: { book: 1 }, headers: key === null ? {} : { 'idempotency-key': key } })
}

describe('The end of a drain whose requests outlast the grace period', () => {
  let harness: Harness

  beforeEach(async () => { harness = await startHarness({ nodes: ['node-a', 'node-b'] }) })

  afterEach(() => harness.stop())

  // Guards against a caller that is told that its time has passed, or that its connection is reset, when the node was stopped.
  it('tells callers that nobody knows whether their requests ran', async () => {
    const [node] = harness.nodes
    const running = holdCalls(harness)
    const answer = lend(node!)
    await running
    node!.entry.beginDrain()
    await node!.entry.close()
    expect(await ended(await answer)).to.deep.equal({ status: 502, type: 'stream_broken', outcome: 'unknown' })
  })

  // Guards against a stream that ends without a word, and looks whole to callers that don't count its tokens.
  it('ends streams with an error event', async () => {
    const [node] = harness.nodes
    harness.engines.next.push(async function * ({ requestId, attempt }): AsyncIterable<StreamEvent> {
      yield * tokenEvents({ requestId, attempt }, 0, 2)
      await new Promise(() => {})
    })
    const answer = await callEntry(node!, '/v1/chat/completions', { body: { ...CHAT_BODY, stream: true }, headers: { 'dotterelspur-non-idempotent': 'true' } })
    node!.entry.beginDrain()
    await node!.entry.close()
    const last = (await answer.text()).trim().split('\n\n').at(-1)!
    expect(last).to.match(/^event: error\ndata: .*"code":"stream_broken".*"outcome":"unknown"/)
  })

  // Guards against a drain that waits for requests that no endpoint has been sent, or that says of them that nobody knows whether they ran.
  it('refuses requests that still wait for an endpoint as not run', async () => {
    const [node] = harness.nodes
    harness.setServiceCapacity(1)
    const running = holdCalls(harness)
    const answers = Array.from({ length: CALLS }, () => lend(node!))
    await running
    while (node!.entry.runningCount() < CALLS) await new Promise((resolve) => { setImmediate(resolve) })
    const sent = harness.services.calls.length
    expect(sent).to.be.lessThan(CALLS)
    node!.entry.beginDrain()
    await node!.entry.close()
    const ends = await Promise.all(answers.map(async (answer) => await ended(await answer)))
    expect(ends.filter(({ status, type, outcome }) => status === 503 && type === 'draining' && outcome === 'not-run')).to.have.length(CALLS - sent)
    expect(ends.filter(({ outcome }) => outcome === 'unknown')).to.have.length(sent)
    expect(harness.services.calls).to.have.length(sent)
  })

  // Guards against a connection that is reset while its request runs at its home on another node.
  it('answers callers whose requests run at another home, which goes on', async () => {
    const [relay, home] = harness.nodes
    const running = holdCalls(harness)
    const answer = lend(relay!, formatRequestId(`${home!.mesh.self.node}.${home!.mesh.self.incarnation}`, Date.now(), 'abcdefgh12345678'))
    await running
    relay!.entry.beginDrain()
    await relay!.entry.close()
    expect(await ended(await answer)).to.deep.equal({ status: 502, type: 'stream_broken', outcome: 'unknown' })
    expect(home!.entry.runningCount()).to.equal(1)
  })
})
