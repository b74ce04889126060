import { once } from 'node:events'
import { connect } from 'node:net'
import { expect } from 'chai'
import { ChunkKind, OutcomeReason, StreamEventKind, type StreamEvent } from 'dotterelspur'
import { SILENT_OBSERVER, type DirectoryAnswer, type ErrorBody } from '../../index.js'
import { gated } from '../fixtures/FakeEngines.js'
import { CHAT_BODY, TOKENS, callEntry, startHarness, type CallOptions, type Harness, type HarnessNode, type HarnessOptions } from '../fixtures/harness.js'

const CHAT = '/v1/chat/completions'

interface Row {
  readonly name: string
  readonly path?: string
  readonly options: CallOptions
  /** `<status> <outcome> <type>`. */
  readonly expected: string
}

const rows: readonly Row[] = [
  { name: 'an unknown token', options: { team: 'guess', body: CHAT_BODY }, expected: '401 not-run unauthorized' },
  { name: 'another scheme', options: { body: CHAT_BODY, headers: { authorization: `Basic ${TOKENS.tradeline}` } }, expected: '401 not-run unauthorized' },
  { name: 'an empty token', options: { body: CHAT_BODY, headers: { authorization: 'Bearer ' } }, expected: '401 not-run unauthorized' },
  { name: 'an unknown token for the directory', path: '/v1/entries', options: { team: 'guess' }, expected: '401 not-run unauthorized' },
  { name: 'an unknown token for an outcome', path: '/v1/requests/x', options: { team: 'guess' }, expected: '401 not-run unauthorized' },
  { name: 'a model that the team doesn\'t have', options: { body: { ...CHAT_BODY, model: 'other' } }, expected: '404 not-run model_not_found' },
  { name: 'a service that the team doesn\'t have', path: '/services/other/x', options: { body: {} }, expected: '404 not-run service_not_found' },
  { name: 'a body without messages', options: { body: { model: 'summary' } }, expected: '400 not-run invalid_request' },
  { name: 'a body of the wrong type', options: { body: { model: 'summary', messages: 'x' } }, expected: '400 not-run invalid_request' },
  { name: 'a body over the limit', options: { body: { ...CHAT_BODY, user: 'x'.repeat(20_000) } }, expected: '413 not-run invalid_request' },
  { name: 'a non-idempotent header that is neither true nor false', options: { body: CHAT_BODY, headers: { 'dotterelspur-non-idempotent': 'yes' } }, expected: '400 not-run invalid_request' },
  { name: 'a key that is too long', options: { body: CHAT_BODY, headers: { 'idempotency-key': 'x'.repeat(300) } }, expected: '400 not-run invalid_request' },
  { name: 'a submission that is not a number', options: { body: CHAT_BODY, headers: { 'dotterelspur-submission': 'first' } }, expected: '400 not-run invalid_request' },
  { name: 'a deadline of 0', options: { body: CHAT_BODY, headers: { 'dotterelspur-deadline-ms': '0' } }, expected: '400 not-run invalid_request' },
  { name: 'an unknown path', path: '/v2/chat', options: { body: CHAT_BODY }, expected: '404 not-run invalid_request' }
]

async function requestOutcome (node: HarnessNode, path: string, options: CallOptions): Promise<string> {
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
      it(row.name, async () => {
        await start()
        expect(await requestOutcome(node, row.path ?? CHAT, row.options)).to.equal(row.expected)
        expect(harness.engines.runs).to.deep.equal([])
      })
    }

    it('to use another team\'s replicas, even if its model has the same name', async () => {
      await start()
      expect(await requestOutcome(node, CHAT, { team: 'piedmont', body: CHAT_BODY })).to.equal('503 not-run no_replica')
    })

    it('new requests while it drains, with the addresses of other nodes, and finishes running requests', async () => {
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

    const contactCases: ReadonlyArray<readonly [string, number, number, number]> = [
      ['no contact with the store or a peer', 60_000, 60_000, 503],
      ['no contact with the store only', 60_000, 0, 200],
      ['no contact with the peers only', 0, 60_000, 200]
    ]
    for (const [name, storeAgeMs, peerAgeMs, status] of contactCases) {
      it(`new requests only when it is isolated: ${name}`, async () => {
        await start({ nodes: ['node-a', 'node-b'] })
        Object.assign(node.mesh, { storeAgeMs, peerAgeMs })
        const response = await callEntry(node, CHAT, { body: CHAT_BODY })
        expect(response.status).to.equal(status)
        if (status === 503) expect(await response.json()).to.have.nested.property('entries[0]', harness.nodes[1]!.url)
      })
    }
  })

  it('responds when the deadline passes, and cancels the engine\'s run', async () => {
    await start()
    harness.engines.next.push(gated(new Promise(() => {})))
    expect(await requestOutcome(node, CHAT, { body: CHAT_BODY, headers: { 'dotterelspur-deadline-ms': '30' } })).to.equal('504 unknown deadline_exceeded')
    expect(harness.engines.cancelled).to.have.length(1)
  })

  it('ends a stream that can\'t be completed with an error event', async () => {
    await start({ limits: { maxAttempts: 1 } })
    harness.engines.next.push(gated(Promise.reject(new Error('the engine crashed'))))
    const response = await callEntry(node, CHAT, { body: { ...CHAT_BODY, stream: true } })
    const text = await response.text()
    expect(text).to.match(/event: error\ndata: \{"error":.*"outcome":"unknown".*\}\n\n$/)
    expect(text).to.not.include('[DONE]')
  })

  // Guards against groups that are full of requests that generate no tokens, and against growth of the node's memory: a caller
  // requests a long stream and reads none of it, so the node reads tokens from the engine faster than the caller takes them.
  it('slows the engine down to the pace of a slow caller, then disconnects the caller', async () => {
    let resolveDisconnected = (): void => {}
    const disconnected = new Promise<void>((resolve) => { resolveDisconnected = resolve })
    await start({ limits: { slowCallerMs: 50 }, observer: { ...SILENT_OBSERVER, slowCallerDisconnected: () => { resolveDisconnected() } } })
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
    await disconnected
    await node.entry.idle()
    expect(stopped).to.equal(true)
    expect(made).to.be.lessThan(50_000)
    socket.destroy()
  })
})
