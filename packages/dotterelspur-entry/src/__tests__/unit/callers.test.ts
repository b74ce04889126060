import { once } from 'node:events'
import { connect } from 'node:net'
import { expect } from 'chai'
import { ChunkKind, OutcomeReason, StreamEventKind, type StreamEvent } from 'dotterelspur'
import { SILENT_OBSERVER, type DirectoryAnswer, type ErrorBody } from '../../index.js'
import { gated } from '../fixtures/FakeEngines.js'
import { CHAT_BODY, TOKENS, callEntry, startHarness, type CallOptions, type Harness, type HarnessNode, type HarnessOptions } from '../fixtures/harness.js'

const CHAT = '/v1/chat/completions'

interface Row {
  readonly what: string
  readonly path?: string
  readonly options: CallOptions
  /** `<status> <outcome> <type>`. */
  readonly told: string
}

const rows: readonly Row[] = [
  { what: 'no such token', options: { team: 'guess', body: CHAT_BODY }, told: '401 not-run unauthorized' },
  { what: 'another scheme', options: { body: CHAT_BODY, headers: { authorization: `Basic ${TOKENS.tradeline}` } }, told: '401 not-run unauthorized' },
  { what: 'an empty token', options: { body: CHAT_BODY, headers: { authorization: 'Bearer ' } }, told: '401 not-run unauthorized' },
  { what: 'no token for the directory', path: '/v1/entries', options: { team: 'guess' }, told: '401 not-run unauthorized' },
  { what: 'no token for an outcome', path: '/v1/requests/x', options: { team: 'guess' }, told: '401 not-run unauthorized' },
  { what: 'a model that the team doesn\'t have', options: { body: { ...CHAT_BODY, model: 'other' } }, told: '404 not-run model_not_found' },
  { what: 'a service that the team doesn\'t have', path: '/services/other/x', options: { body: {} }, told: '404 not-run service_not_found' },
  { what: 'a body without messages', options: { body: { model: 'summary' } }, told: '400 not-run invalid_request' },
  { what: 'a body of the wrong type', options: { body: { model: 'summary', messages: 'x' } }, told: '400 not-run invalid_request' },
  { what: 'a body over the limit', options: { body: { ...CHAT_BODY, user: 'x'.repeat(20_000) } }, told: '413 not-run invalid_request' },
  { what: 'a mark that is neither true nor false', options: { body: CHAT_BODY, headers: { 'dotterelspur-non-idempotent': 'yes' } }, told: '400 not-run invalid_request' },
  { what: 'a key that is too long', options: { body: CHAT_BODY, headers: { 'idempotency-key': 'x'.repeat(300) } }, told: '400 not-run invalid_request' },
  { what: 'a submission that is no number', options: { body: CHAT_BODY, headers: { 'dotterelspur-submission': 'first' } }, told: '400 not-run invalid_request' },
  { what: 'a deadline of nothing', options: { body: CHAT_BODY, headers: { 'dotterelspur-deadline-ms': '0' } }, told: '400 not-run invalid_request' },
  { what: 'no such path', path: '/v2/chat', options: { body: CHAT_BODY }, told: '404 not-run invalid_request' }
]

async function tell (node: HarnessNode, path: string, options: CallOptions): Promise<string> {
  const response = await callEntry(node, path, options)
  const { error } = await response.json() as ErrorBody
  return `${response.status} ${error.outcome} ${error.type}`
}

describe('callers\' listener', () => {
  let harness: Harness
  let node: HarnessNode
  const start = async (options: HarnessOptions = {}): Promise<void> => {
    harness = await startHarness({ limits: { maxBodyBytes: 10_000 }, ...options })
    node = harness.nodes[0]!
  }

  afterEach(() => harness.stop())

  describe('refuses', () => {
    for (const row of rows) {
      it(row.what, async () => {
        await start()
        expect(await tell(node, row.path ?? CHAT, row.options)).to.equal(row.told)
        expect(harness.engines.runs).to.deep.equal([])
      })
    }

    it('another team\'s replicas, though the model has the same name', async () => {
      await start()
      expect(await tell(node, CHAT, { team: 'piedmont', body: CHAT_BODY })).to.equal('503 not-run no_replica')
    })

    it('new work while it drains, with the other addresses, and finishes what runs', async () => {
      await start({ nodes: ['node-a', 'node-b'] })
      let open = (): void => {}
      harness.engines.next.push(gated(new Promise((resolve) => { open = resolve })))
      const running = callEntry(node, CHAT, { body: { ...CHAT_BODY, stream: true } })
      const stream = await running
      node.entry.beginDrain()
      const refused = await callEntry(node, CHAT, { body: CHAT_BODY })
      const body = await refused.json() as ErrorBody
      expect(refused.headers.get('retry-after')).to.equal('0')
      expect(body.error).to.include({ outcome: 'not-run', type: OutcomeReason.Draining })
      expect(body.entries).to.deep.equal([harness.nodes[1]!.url])
      const directory = await (await callEntry(node, '/v1/entries')).json() as DirectoryAnswer
      expect(directory.entries.map((entry) => entry.node)).to.deep.equal(['node-b'])
      open()
      await node.entry.idle()
      expect(await stream.text()).to.match(/data: \[DONE\]\n\n$/)
    })

    const cutOff: ReadonlyArray<readonly [string, number, number, number]> = [
      ['neither the store nor a peer is heard', 60_000, 60_000, 503],
      ['only the store is out', 60_000, 0, 200],
      ['only the peers are gone', 0, 60_000, 200]
    ]
    for (const [what, storeAgeMs, peerAgeMs, status] of cutOff) {
      it(`new work when it is cut off, not otherwise: ${what}`, async () => {
        await start({ nodes: ['node-a', 'node-b'] })
        Object.assign(node.mesh, { storeAgeMs, peerAgeMs })
        const response = await callEntry(node, CHAT, { body: CHAT_BODY })
        expect(response.status).to.equal(status)
        if (status === 503) expect(await response.json()).to.have.nested.property('entries[0]', harness.nodes[1]!.url)
      })
    }
  })

  it('gives its final answer when the deadline passes, and stops the engine', async () => {
    await start()
    harness.engines.next.push(gated(new Promise(() => {})))
    expect(await tell(node, CHAT, { body: CHAT_BODY, headers: { 'dotterelspur-deadline-ms': '30' } })).to.equal('504 unknown deadline_exceeded')
    expect(harness.engines.cancelled).to.have.length(1)
  })

  it('ends a stream that can\'t be completed with an error event, never in silence', async () => {
    await start({ limits: { maxAttempts: 1 } })
    harness.engines.next.push(gated(Promise.reject(new Error('the engine fell over'))))
    const response = await callEntry(node, CHAT, { body: { ...CHAT_BODY, stream: true } })
    const text = await response.text()
    expect(text).to.match(/event: error\ndata: \{"error":.*"outcome":"unknown".*\}\n\n$/)
    expect(text).to.not.include('[DONE]')
  })

  // Symptom: groups are full of requests that make no tokens, and the node's memory grows.
  // Sequence: a caller asks for a long stream and reads nothing of it.
  // Cause: the node takes the engine's tokens faster than the caller takes the node's.
  it('slows the engine to a slow caller, then cuts the caller off', async () => {
    let cut = (): void => {}
    const cutOff = new Promise<void>((resolve) => { cut = resolve })
    await start({ limits: { slowCallerMs: 50 }, observer: { ...SILENT_OBSERVER, slowCallerDisconnected: () => { cut() } } })
    const text = 'x'.repeat(1_000)
    let made = 0
    let stopped = false
    harness.engines.next.push(async function * (request, signal): AsyncIterable<StreamEvent> {
      signal.addEventListener('abort', () => { stopped = true })
      for (; made < 100_000 && !signal.aborted; made += 1) {
        yield { kind: StreamEventKind.Chunk, chunk: { kind: ChunkKind.Tokens, requestId: request.requestId, attempt: request.attempt, offset: made, tokens: 1, text } }
      }
    })
    const body = JSON.stringify({ ...CHAT_BODY, stream: true })
    const socket = connect(Number(new URL(node.url).port), '127.0.0.1')
    await once(socket, 'connect')
    socket.on('error', () => {})
    socket.pause()
    socket.write(`POST ${CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${TOKENS.tradeline}\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
    await cutOff
    await node.entry.idle()
    expect(stopped).to.equal(true)
    expect(made).to.be.lessThan(50_000)
    socket.destroy()
  })
})
