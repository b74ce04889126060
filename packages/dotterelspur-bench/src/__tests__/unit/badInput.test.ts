import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import fc from 'fast-check'
import { ChunkKind, FinishReason, PriorityClass, StreamEventKind, createRandom } from 'dotterelspur'
import type { GenerateChunk, GenerateRequest } from 'dotterelspur'
import { startCluster } from 'dotterelspur-demo'
import { HttpEngineClient } from 'dotterelspur-endpoint'
import { parseNodeSettings, parseTeamSettings } from 'dotterelspur-settings'
import { SystemClock } from 'dotterelspur-clock'
import { drawBadInput, sendBadInput } from '../../process/soak/badInput.js'

const SEED = 20_240_501
const REQUEST: GenerateRequest = {
  requestId: 'n.1.a.bbbbbbbb',
  attempt: 1,
  group: 'g',
  formation: 1,
  model: 'm',
  version: 'v',
  adapter: null,
  prompt: 'p',
  maxTokens: 6,
  priority: PriorityClass.Interactive,
  seed: 1,
  resumeOffset: 0,
  resumeText: '',
  idempotencyKey: null
}
const TEXTS = ['one ', 'two ', 'three ', 'four ', 'five ', 'six ']

function wholeStream (): string[] {
  const { requestId, attempt } = REQUEST
  const chunks: GenerateChunk[] = TEXTS.map((text, offset) => ({ kind: ChunkKind.Tokens, requestId, attempt, offset, tokens: 1, text }))
  return [...chunks, { kind: ChunkKind.End, requestId, attempt, offset: TEXTS.length, finishReason: FinishReason.Stop, promptTokens: 1 } as const].map((chunk) => JSON.stringify(chunk))
}

/** A stream with lines lost, doubled, exchanged, cut or from another request. */
const damagedStream = fc.array(fc.record({ at: fc.nat(6), how: fc.constantFrom('drop', 'double', 'swap', 'cut', 'other', 'noise') }), { maxLength: 3 }).map((damages) => {
  const lines = wholeStream()
  for (const { at, how } of damages) {
    if (how === 'drop') lines.splice(at, 1)
    if (how === 'double') lines.splice(at, 0, lines[at] ?? '')
    if (how === 'swap') lines.splice(at, 2, ...lines.slice(at, at + 2).reverse())
    if (how === 'cut') lines.splice(at)
    if (how === 'other') lines.splice(at, 1, (lines[at] ?? '').replace(REQUEST.requestId, 'n.1.a.cccccccc'))
    if (how === 'noise') lines.splice(at, 0, '{"kind":')
  }
  return lines
})

async function received (client: HttpEngineClient, url: string): Promise<{ readonly text: string, readonly whole: boolean }> {
  let text = ''
  let whole = false
  for await (const event of client.generate(url, REQUEST, new AbortController().signal)) {
    if (event.kind !== StreamEventKind.Chunk) whole = false
    else if (event.chunk.kind === ChunkKind.End) whole = true
    else text += event.chunk.text
  }
  return { text, whole }
}

describe('bad input', () => {
  it('never makes a damaged stream of an engine a whole answer', async () => {
    // Symptom: a caller gets another's tokens, some twice, or a part that looks whole. Sequence: a proxy or a
    // mixed-up connection loses, repeats or exchanges lines. Cause: lines taken without proof of place and owner.
    let lines: readonly string[] = []
    const server = createServer((_request, response) => {
      response.writeHead(200, { 'content-type': 'application/x-ndjson' })
      response.end(lines.map((line) => `${line}\n`).join(''))
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    const client = new HttpEngineClient({ clock: new SystemClock() })
    await fc.assert(fc.asyncProperty(damagedStream, async (damaged) => {
      lines = damaged
      const { text, whole } = await received(client, url)
      expect(!whole || text === TEXTS.join('')).to.equal(true)
      expect(TEXTS.join('').startsWith(text)).to.equal(true)
    }), { seed: SEED, numRuns: 150 })
    server.closeAllConnections()
    server.close()
  })

  it('gives an error and never an exception for settings of any text', () => {
    const pieces = fc.array(fc.constantFrom('[team]', '[node]', '[model a]', '[', ']', 'name = a', 'priority = 9e9', '=', ' = x', 'replicas = -1', '\u0000', '\ufffd', '; c', '__proto__ = 1', '[__proto__]', '[service s.routes]', 'weights.downtime = 1 s'), { maxLength: 12 })
    fc.assert(fc.property(fc.oneof(fc.string({ maxLength: 300 }), pieces.map((lines) => lines.join('\n'))), (text) => {
      for (const parsed of [parseTeamSettings(text, 'file.ini'), parseNodeSettings(text, 'file.ini')]) expect(parsed).to.have.property('ok')
    }), { seed: SEED, numRuns: 400 })
  })

  it('leaves every listener of a node answering', async function () {
    this.timeout(90_000)
    const cluster = await startCluster({ nodes: 2, seed: 3 })
    try {
      const random = createRandom(SEED)
      const listeners = cluster.nodes.flatMap((node) => [node.entry, node.admin])
      for (let round = 0; round < 12; round++) await Promise.all(listeners.map(async (url) => { await sendBadInput(url, drawBadInput(random)) }))
      for (const node of cluster.nodes) {
        expect((await fetch(`${node.admin}/readyz`)).status).to.equal(200)
        expect((await fetch(`${node.entry}/v1/entries`)).status).to.be.lessThan(500)
      }
    } finally {
      await cluster.stop()
    }
  })
})
