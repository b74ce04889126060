import { expect } from 'chai'
import { EndpointErrorKind } from 'dotterelspur'
import type { EndpointError, Result, ServiceRequest, ServiceResponse } from 'dotterelspur'
import { SystemClock } from 'dotterelspur-clock'
import { createAnswerTotal, HttpServiceClient } from '../../index.js'
import type { EndpointSettings } from '../../index.js'
import { LAST_PART, chunkedHead, part, response, startScriptedServer } from './ScriptedServer.js'
import type { Script, ScriptedServer } from './ScriptedServer.js'

const JSON_TYPE = 'application/json'
const TIMEOUT_MS = 2_000
const MIB = 1_048_576
/** Longer than the test. */
const LONG_MS = 60_000

const REQUEST: ServiceRequest = {
  requestId: 'node-a1.7.abc.12345678',
  attempt: 1,
  method: 'POST',
  path: '/records?day=today',
  contentType: JSON_TYPE,
  body: new TextEncoder().encode('{"loan":1}'),
  idempotencyKey: 'loan-1'
}

interface Fixture {
  readonly server: ScriptedServer
  call (timeoutMs?: number, signal?: AbortSignal): Promise<Result<ServiceResponse, EndpointError>>
}

async function withService (script: Script, run: (fixture: Fixture) => Promise<void>, settings: Partial<EndpointSettings> = {}, totalBytes = MIB): Promise<void> {
  const server = await startScriptedServer(script)
  const client = new HttpServiceClient({ clock: new SystemClock(), settings, total: createAnswerTotal({ totalBytes, bodyBytes: totalBytes, sharedBytes: totalBytes, leastBytes: totalBytes }) })
  try {
    await run({
      server,
      call: (timeoutMs = TIMEOUT_MS, signal = new AbortController().signal) => client.call(server.address, REQUEST, timeoutMs, signal)
    })
  } finally {
    await client.close()
    await server.stop()
  }
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => { setTimeout(resolve, 2) })
}

describe('HttpServiceClient', () => {
  const answers: ReadonlyArray<{ readonly name: string, readonly script: Script, readonly status: number, readonly body: string }> = [
    { name: 'a body with a length', script: (socket) => { socket.write(response(200, JSON_TYPE, '{"ok":1}')) }, status: 200, body: '{"ok":1}' },
    { name: 'a chunked body', script: (socket) => { socket.write(chunkedHead(JSON_TYPE) + part('{"ok"') + part(':1}') + LAST_PART) }, status: 200, body: '{"ok":1}' },
    { name: 'the service\'s own refusal', script: (socket) => { socket.write(response(503, JSON_TYPE, '{"busy":1}')) }, status: 503, body: '{"busy":1}' },
    { name: 'an answer without a body', script: (socket) => { socket.write('HTTP/1.1 204 No Content\r\n\r\n') }, status: 204, body: '' }
  ]
  for (const { name, script, status, body } of answers) {
    it(`passes through ${name}`, async () => {
      await withService(script, async ({ call }) => {
        const result = await call()
        expect(result.ok && result.value.status).to.equal(status)
        expect(result.ok && Buffer.from(result.value.body).toString()).to.equal(body)
      })
    })
  }

  it('sends the call as it is, with its request id, attempt and key', async () => {
    await withService((socket) => { socket.write(response(200, JSON_TYPE, '{}')) }, async ({ server, call }) => {
      await call()
      const [request] = server.requests
      expect(request).to.match(/^POST \/records\?day=today HTTP\/1\.1\r\n/)
      for (const line of ['x-request-id: node-a1.7.abc.12345678', 'x-attempt: 1', 'idempotency-key: loan-1', 'content-type: application/json']) expect(request).to.contain(`${line}\r\n`)
      expect(request!.endsWith('\r\n\r\n{"loan":1}')).to.equal(true)
    })
  })

  const faults: ReadonlyArray<{ readonly name: string, readonly script: Script, readonly kind: EndpointErrorKind }> = [
    { name: 'a connection that closes without an answer', script: (socket) => { socket.destroy() }, kind: EndpointErrorKind.Ambiguous },
    { name: 'a connection that is reset without an answer', script: (socket) => { socket.resetAndDestroy() }, kind: EndpointErrorKind.Ambiguous },
    { name: 'no answer in time', script: () => {}, kind: EndpointErrorKind.Ambiguous },
    { name: 'a body shorter than its length', script: (socket) => { socket.end('HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nshort') }, kind: EndpointErrorKind.Broken },
    { name: 'a chunked body without its last part', script: (socket) => { socket.end(chunkedHead(JSON_TYPE) + part('{"ok"')) }, kind: EndpointErrorKind.Broken },
    { name: 'a body that stands still', script: (socket) => { socket.write('HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nshort') }, kind: EndpointErrorKind.Broken },
    { name: 'a response that does not say where it ends', script: (socket) => { socket.end('HTTP/1.1 200 OK\r\n\r\nperhaps all') }, kind: EndpointErrorKind.Malformed },
    { name: 'a body beyond the bound', script: (socket) => { socket.write(response(200, JSON_TYPE, 'x'.repeat(3_000))) }, kind: EndpointErrorKind.Malformed },
    {
      name: 'a refusal before anything ran',
      script: (socket) => {
        const body = '{"error":{"kind":"refused","reason":"leaving","retryAfterMs":5}}'
        socket.write(`HTTP/1.1 503 X\r\nx-not-run: 1\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
      },
      kind: EndpointErrorKind.Refused
    },
    {
      name: 'a refusal in other words',
      script: (socket) => { socket.write('HTTP/1.1 503 X\r\nx-not-run: 1\r\ncontent-length: 2\r\n\r\n{}') },
      kind: EndpointErrorKind.Ambiguous
    }
  ]
  for (const { name, script, kind } of faults) {
    it(`says ${kind} of ${name}`, async () => {
      await withService(script, async ({ server, call }) => {
        const result = await call(80)
        expect(result.ok ? 'answered' : result.error.kind).to.equal(kind)
        expect(server.requests, 'the call is sent once').to.have.length(1)
      }, { responseBytes: 2_048 })
    })
  }

  it('says not-run when no connection is made', async () => {
    const server = await startScriptedServer(() => {})
    await server.stop()
    const client = new HttpServiceClient({ clock: new SystemClock() })
    const result = await client.call(server.address, REQUEST, TIMEOUT_MS, new AbortController().signal)
    expect(result.ok ? 'answered' : result.error.kind).to.equal(EndpointErrorKind.NotRun)
    await client.close()
  })

  it('says not-run of a call that is aborted while it waits for a connection, and sends none of it', async () => {
    await withService(() => {}, async ({ server, call }) => {
      const first = new AbortController()
      const second = new AbortController()
      const running = call(TIMEOUT_MS, first.signal)
      await until(() => server.requests.length === 1)
      const waiting = call(TIMEOUT_MS, second.signal)
      second.abort()
      const refused = await waiting
      expect(refused.ok ? 'answered' : refused.error.kind).to.equal(EndpointErrorKind.NotRun)
      first.abort()
      const aborted = await running
      expect(aborted.ok ? 'answered' : aborted.error.kind).to.equal(EndpointErrorKind.Ambiguous)
      await until(() => server.closedConnections() === 2)
      expect(server.requests).to.have.length(1)
    }, { requestConnections: 1 })
  })

  // Guards against answers that stay below their own limit and together use up the memory of the process.
  it('ends the largest answers while all together exceed their limit, and no more', async () => {
    const [calls, answerBytes, totalBytes] = [12, 100_000, 350_000]
    const head = `HTTP/1.1 200 OK\r\ncontent-type: ${JSON_TYPE}\r\ncontent-length: ${2 * answerBytes}\r\n\r\n`
    await withService((socket) => { socket.write(head + 'x'.repeat(answerBytes)) }, async ({ call }) => {
      const aborts = Array.from({ length: calls }, () => new AbortController())
      const ended: Array<Result<ServiceResponse, EndpointError>> = []
      const all = aborts.map(async ({ signal }) => { ended.push(await call(LONG_MS, signal)) })
      await until(() => ended.length >= calls - Math.floor(totalBytes / answerBytes))
      expect(ended.map((result) => result.ok ? 'answered' : result.error.kind)).to.deep.equal(ended.map(() => EndpointErrorKind.Malformed))
      for (const abort of aborts) abort.abort()
      await Promise.all(all)
    }, {}, totalBytes)
  })
})
