import { expect } from 'chai'
import { ChunkKind, EndpointErrorKind, FinishReason, PriorityClass, StreamEventKind } from 'dotterelspur'
import type { EndpointError, GenerateRequest, StreamEvent } from 'dotterelspur'
import { SystemClock } from 'dotterelspur-clock'
import { HttpEngineClient } from '../../index.js'
import type { EndpointSettings } from '../../index.js'
import { LAST_PART, chunkedHead, part, response, startScriptedServer } from './ScriptedServer.js'
import type { Script, ScriptedServer } from './ScriptedServer.js'

const REQUEST: GenerateRequest = {
  requestId: 'node-a1.7.abc.12345678',
  attempt: 2,
  group: 'g1',
  formation: 3,
  model: 'summary-8b',
  version: '1',
  adapter: null,
  prompt: 'how far',
  maxTokens: 8,
  priority: PriorityClass.Interactive,
  seed: 1,
  resumeOffset: 0,
  resumeText: '',
  idempotencyKey: null
}

function tokens (offset: number, text: string, change: object = {}): string {
  return `${JSON.stringify({ kind: ChunkKind.Tokens, requestId: REQUEST.requestId, attempt: 2, offset, tokens: 1, text, ...change })}\n`
}

function end (offset: number, change: object = {}): string {
  return `${JSON.stringify({ kind: ChunkKind.End, requestId: REQUEST.requestId, attempt: 2, offset, finishReason: FinishReason.Stop, promptTokens: 2, ...change })}\n`
}

interface Fixture {
  readonly client: HttpEngineClient
  readonly server: ScriptedServer
}

async function withEngine (script: Script, run: (fixture: Fixture) => Promise<void>, settings: Partial<EndpointSettings> = {}): Promise<void> {
  const server = await startScriptedServer(script)
  const client = new HttpEngineClient({ clock: new SystemClock(), settings })
  try {
    await run({ client, server })
  } finally {
    await client.close()
    await server.stop()
  }
}

interface Collected {
  readonly text: string
  readonly ended: boolean
  readonly error: EndpointError | undefined
  readonly silences: number
}

async function collect (events: AsyncIterable<StreamEvent>): Promise<Collected> {
  let text = ''
  let ended = false
  let error: EndpointError | undefined
  let silences = 0
  for await (const event of events) {
    if (event.kind === StreamEventKind.Error) error = event.error
    else if (event.kind === StreamEventKind.Silent) silences += 1
    else if (event.chunk.kind === ChunkKind.Tokens) text += event.chunk.text
    else ended = true
  }
  return { text, ended, error, silences }
}

function neverAborted (): AbortSignal {
  return new AbortController().signal
}

function streamOf (...lines: string[]): Script {
  return (socket) => { socket.write(chunkedHead() + lines.map(part).join('') + LAST_PART) }
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => { setTimeout(resolve, 2) })
}

describe('HttpEngineClient', () => {
  it('delivers a whole stream and uses the connection again', async () => {
    await withEngine(streamOf(tokens(0, 'a'), tokens(1, 'b'), end(2)), async ({ client, server }) => {
      const first = await collect(client.generate(server.address, REQUEST, neverAborted()))
      const second = await collect(client.generate(server.address, REQUEST, neverAborted()))
      expect([first, second]).to.deep.equal([{ text: 'ab', ended: true, error: undefined, silences: 0 }, { text: 'ab', ended: true, error: undefined, silences: 0 }])
      expect(server.closedConnections()).to.equal(0)
    })
  })

  it('joins lines and characters that were cut anywhere', async () => {
    const bytes = Buffer.from(tokens(0, 'Perth \u2192 B\u00fcro') + end(1))
    const script: Script = (socket) => {
      socket.write(chunkedHead())
      for (const byte of bytes) socket.write(Buffer.concat([Buffer.from('1\r\n'), Buffer.from([byte]), Buffer.from('\r\n')]))
      socket.write(LAST_PART)
    }
    await withEngine(script, async ({ client, server }) => {
      expect(await collect(client.generate(server.address, REQUEST, neverAborted()))).to.deep.equal({ text: 'Perth \u2192 B\u00fcro', ended: true, error: undefined, silences: 0 })
    })
  })

  const streamFaults: ReadonlyArray<{ readonly name: string, readonly lines: readonly string[], readonly text: string, readonly kind: EndpointErrorKind }> = [
    { name: 'a chunk of another request', lines: [tokens(0, 'a'), tokens(1, 'X', { requestId: 'other' }), end(2)], text: 'a', kind: EndpointErrorKind.Broken },
    { name: 'an end mark of another request', lines: [tokens(0, 'a'), end(1, { requestId: 'other' })], text: 'a', kind: EndpointErrorKind.Broken },
    { name: 'a chunk of an earlier attempt', lines: [tokens(0, 'X', { attempt: 1 }), end(1)], text: '', kind: EndpointErrorKind.Broken },
    { name: 'a repeated chunk', lines: [tokens(0, 'a'), tokens(0, 'a'), end(1)], text: 'a', kind: EndpointErrorKind.Broken },
    { name: 'reordered chunks', lines: [tokens(1, 'b'), tokens(0, 'a'), end(2)], text: '', kind: EndpointErrorKind.Broken },
    { name: 'a gap', lines: [tokens(0, 'a'), tokens(2, 'c'), end(3)], text: 'a', kind: EndpointErrorKind.Broken },
    { name: 'an end mark after a gap', lines: [tokens(0, 'a'), end(3)], text: 'a', kind: EndpointErrorKind.Broken },
    { name: 'no end mark', lines: [tokens(0, 'a')], text: 'a', kind: EndpointErrorKind.Broken },
    { name: 'an empty stream', lines: [], text: '', kind: EndpointErrorKind.Broken },
    { name: 'half a line', lines: [tokens(0, 'a'), tokens(1, 'b').slice(0, 20)], text: 'a', kind: EndpointErrorKind.Broken },
    { name: 'a line that is no JSON', lines: [tokens(0, 'a'), 'oops\n'], text: 'a', kind: EndpointErrorKind.Malformed },
    { name: 'a chunk without its text', lines: [tokens(0, 'a', { text: null }), end(1)], text: '', kind: EndpointErrorKind.Malformed },
    { name: 'a chunk of no tokens', lines: [tokens(0, '', { tokens: 0 }), end(0)], text: '', kind: EndpointErrorKind.Malformed },
    { name: 'a line beyond the bound', lines: [tokens(0, 'x'.repeat(5_000))], text: '', kind: EndpointErrorKind.Malformed }
  ]
  for (const { name, lines, text, kind } of streamFaults) {
    it(`never delivers as whole: ${name}`, async () => {
      await withEngine(streamOf(...lines), async ({ client, server }) => {
        const collected = await collect(client.generate(server.address, REQUEST, neverAborted()))
        expect(collected.error?.kind).to.equal(kind)
        expect(collected).to.include({ text, ended: false })
      }, { lineBytes: 4_096 })
    })
  }

  it('delivers nothing that comes after the end mark, and closes a connection that goes on', async () => {
    const script: Script = (socket) => { socket.write(chunkedHead() + [tokens(0, 'a'), end(1), tokens(1, 'X')].map(part).join('')) }
    await withEngine(script, async ({ client, server }) => {
      expect(await collect(client.generate(server.address, REQUEST, neverAborted()))).to.deep.equal({ text: 'a', ended: true, error: undefined, silences: 0 })
      await until(() => server.closedConnections() === 1)
    }, { drainTimeoutMs: 20 })
  })

  const json = 'application/json'
  const refusals: ReadonlyArray<{ readonly name: string, readonly script: Script, readonly error: Partial<EndpointError> }> = [
    {
      name: 'another formation',
      script: (socket) => { socket.write(response(409, json, '{"error":{"kind":"wrong-formation","reason":"at 4"}}')) },
      error: { kind: EndpointErrorKind.WrongFormation, reason: 'at 4' }
    },
    {
      name: 'a full engine',
      script: (socket) => { socket.write(response(503, json, '{"error":{"kind":"refused","reason":"full","retryAfterMs":40}}')) },
      error: { kind: EndpointErrorKind.Refused, reason: 'full', retryAfterMs: 40 }
    },
    {
      name: 'a run that failed',
      script: (socket) => { socket.write(response(500, json, '{"error":{"kind":"failed","reason":"out of memory"}}')) },
      error: { kind: EndpointErrorKind.Failed, reason: 'out of memory', status: 500 }
    },
    {
      name: 'a 503 that is not the engine\'s own word',
      script: (socket) => { socket.write(response(503, 'text/html', '<h1>sorry</h1>')) },
      error: { kind: EndpointErrorKind.Ambiguous }
    },
    {
      name: 'an error of an unknown kind',
      script: (socket) => { socket.write(response(500, json, '{"error":{"kind":"strange"}}')) },
      error: { kind: EndpointErrorKind.Ambiguous }
    },
    {
      name: 'a page instead of a stream',
      script: (socket) => { socket.write(response(200, 'text/html', '<h1>hello</h1>')) },
      error: { kind: EndpointErrorKind.Malformed }
    },
    {
      name: 'a connection that closes after the request was read',
      script: (socket) => { socket.destroy() },
      error: { kind: EndpointErrorKind.Ambiguous }
    },
    {
      name: 'a connection that breaks inside a refusal',
      script: (socket) => { socket.end('HTTP/1.1 409 X\r\ncontent-type: application/json\r\ncontent-length: 90\r\n\r\n{"error":{"kind":"wrong-') },
      error: { kind: EndpointErrorKind.Ambiguous }
    },
    {
      name: 'an answer that is no HTTP',
      script: (socket) => { socket.end('what?\r\n\r\n') },
      error: { kind: EndpointErrorKind.Ambiguous }
    },
    {
      name: 'a connection that breaks between chunks',
      script: (socket) => { socket.write(chunkedHead() + part(tokens(0, 'a')), () => { socket.destroy() }) },
      error: { kind: EndpointErrorKind.Broken, offset: 1 }
    }
  ]
  for (const { name, script, error } of refusals) {
    it(`says ${error.kind} of ${name}`, async () => {
      await withEngine(script, async ({ client, server }) => {
        const collected = await collect(client.generate(server.address, REQUEST, neverAborted()))
        expect(collected.error).to.include(error)
        expect(collected.ended).to.equal(false)
      }, { answerTimeoutMs: 60, firstChunkTimeoutMs: 60, chunkTimeoutMs: 60 })
    })
  }

  const pauses: ReadonlyArray<{ readonly name: string, readonly before: string, readonly after: string }> = [
    { name: 'before the head', before: '', after: chunkedHead() + part(tokens(0, 'a')) + part(end(1)) + LAST_PART },
    { name: 'before the first chunk', before: chunkedHead(), after: part(tokens(0, 'a')) + part(end(1)) + LAST_PART },
    { name: 'between chunks', before: chunkedHead() + part(tokens(0, 'a')), after: part(tokens(1, 'b')) + part(end(2)) + LAST_PART },
    { name: 'before the end mark', before: chunkedHead() + part(tokens(0, 'a')), after: part(end(1)) + LAST_PART }
  ]
  for (const { name, before, after } of pauses) {
    // Guards against streams that are ended because their engine has paused, although it goes on.
    it(`reads the whole stream of an engine that pauses ${name}`, async () => {
      const script: Script = (socket) => {
        socket.write(before)
        setTimeout(() => { socket.write(after) }, 200)
      }
      await withEngine(script, async ({ client, server }) => {
        const collected = await collect(client.generate(server.address, REQUEST, neverAborted()))
        expect(collected.error).to.equal(undefined)
        expect(collected.ended).to.equal(true)
        expect(collected.silences).to.be.within(1, 3)
      }, { answerTimeoutMs: 60, firstChunkTimeoutMs: 60, chunkTimeoutMs: 60 })
    })
  }

  const silences: ReadonlyArray<{ readonly name: string, readonly before: string, readonly error: object }> = [
    { name: 'before the head', before: '', error: { kind: EndpointErrorKind.Ambiguous } },
    { name: 'after the head', before: chunkedHead(), error: { kind: EndpointErrorKind.Broken, offset: 0 } },
    { name: 'between chunks', before: chunkedHead() + part(tokens(0, 'a')), error: { kind: EndpointErrorKind.Broken, offset: 1 } }
  ]
  for (const { name, before, error } of silences) {
    it(`reports silence ${name} until the request is aborted, and then says ${String(Object.values(error)[0])}`, async () => {
      await withEngine((socket) => { socket.write(before) }, async ({ client, server }) => {
        const abort = new AbortController()
        setTimeout(() => { abort.abort() }, 300)
        const collected = await collect(client.generate(server.address, REQUEST, abort.signal))
        expect(collected.error).to.include(error)
        expect(collected.ended).to.equal(false)
        expect(collected.silences).to.be.within(2, 6)
      }, { answerTimeoutMs: 50, firstChunkTimeoutMs: 50, chunkTimeoutMs: 50 })
    })
  }

  it('says not-run of a request that waits for a connection for too long', async () => {
    await withEngine(() => {}, async ({ client, server }) => {
      const abort = new AbortController()
      const first = collect(client.generate(server.address, REQUEST, abort.signal))
      await until(() => server.requests.length === 1)
      const waiting = await collect(client.generate(server.address, REQUEST, neverAborted()))
      expect(waiting.error?.kind).to.equal(EndpointErrorKind.NotRun)
      abort.abort()
      await first
    }, { requestConnections: 1, answerTimeoutMs: 60 })
  })

  it('says not-run when no connection is made, and only then', async () => {
    const server = await startScriptedServer(() => {})
    await server.stop()
    const client = new HttpEngineClient({ clock: new SystemClock() })
    const collected = await collect(client.generate(server.address, REQUEST, neverAborted()))
    expect(collected.error?.kind).to.equal(EndpointErrorKind.NotRun)
    await client.close()
  })

  it('says not-run of a request that is aborted while it waits for a connection', async () => {
    await withEngine(() => {}, async ({ client, server }) => {
      const first = new AbortController()
      const running = collect(client.generate(server.address, REQUEST, first.signal))
      await until(() => server.requests.length === 1)
      const second = new AbortController()
      const queued = collect(client.generate(server.address, { ...REQUEST, requestId: 'queued' }, second.signal))
      second.abort()
      expect((await queued).error?.kind).to.equal(EndpointErrorKind.NotRun)
      first.abort()
      expect((await running).error?.kind).to.equal(EndpointErrorKind.Ambiguous)
      await until(() => server.closedConnections() >= 1)
      expect(server.requests.filter((request) => request.includes('queued'))).to.deep.equal([])
    }, { requestConnections: 1 })
  })

  it('says not-run when too many requests wait for the endpoint', async () => {
    await withEngine(() => {}, async ({ client, server }) => {
      const abort = new AbortController()
      const running = [1, 2].map(() => collect(client.generate(server.address, REQUEST, abort.signal)))
      await until(() => server.requests.length === 1)
      const refused = await collect(client.generate(server.address, REQUEST, neverAborted()))
      expect(refused.error?.kind).to.equal(EndpointErrorKind.NotRun)
      abort.abort()
      await Promise.all(running)
    }, { requestConnections: 1, queuedRequests: 1 })
  })

  it('answers probes while every request connection streams', async () => {
    const line = ['vm-1', 1, 'ready', 'g1', 3, 'm', '1', [], 0, 1, 0, 8, 0.5, 40, [['m', '1', 'tax']]]
    const script: Script = (socket, request) => {
      if (request.startsWith('GET /v1/presence')) socket.write(response(200, json, JSON.stringify(line)))
    }
    await withEngine(script, async ({ client, server }) => {
      const abort = new AbortController()
      const running = collect(client.generate(server.address, REQUEST, abort.signal))
      await until(() => server.requests.length === 1)
      expect(await client.probe(server.address, 1_000)).to.deep.equal({
        ok: true,
        value: {
          vm: 'vm-1',
          incarnation: 1,
          state: 'ready',
          group: 'g1',
          formation: 3,
          model: 'm',
          version: '1',
          adapters: [],
          loaded: [{ model: 'm', version: '1', adapters: ['tax'] }],
          fencing: 0,
          load: { running: 1, waiting: 0, capacity: 8, cacheUsed: 0.5, ageMs: 40 }
        }
      })
      abort.abort()
      await running
    }, { requestConnections: 1 })
  })

  const probeFaults: ReadonlyArray<{ readonly name: string, readonly script: Script, readonly kind: EndpointErrorKind }> = [
    { name: 'no answer', script: () => {}, kind: EndpointErrorKind.Ambiguous },
    { name: 'another shape', script: (socket) => { socket.write(response(200, json, '{"vm":1}')) }, kind: EndpointErrorKind.Malformed },
    { name: 'an endless answer', script: (socket) => { socket.write(chunkedHead(json) + part('x'.repeat(3_000))) }, kind: EndpointErrorKind.Ambiguous }
  ]
  for (const { name, script, kind } of probeFaults) {
    it(`takes a probe with ${name} as ${kind}`, async () => {
      await withEngine(script, async ({ client, server }) => {
        const result = await client.probe(server.address, 60)
        expect(result.ok ? undefined : result.error.kind).to.equal(kind)
      }, { answerBytes: 2_048 })
    })
  }

  it('closes the connection when the consumer stops, so that the engine cancels', async () => {
    const script: Script = (socket) => { socket.write(chunkedHead() + part(tokens(0, 'a')) + part(tokens(1, 'b'))) }
    await withEngine(script, async ({ client, server }) => {
      const events = client.generate(server.address, REQUEST, neverAborted())[Symbol.asyncIterator]()
      expect((await events.next()).value).to.include({ kind: StreamEventKind.Chunk })
      await events.return!()
      await until(() => server.closedConnections() === 1)
    })
  })
})
