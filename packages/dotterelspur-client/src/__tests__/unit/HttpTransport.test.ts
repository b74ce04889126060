import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { CallFailureKind } from '../../request/CallFailure.js'
import { HttpTransport, type HttpCall } from '../../request/HttpTransport.js'

/** More than any limit of the client. */
const ENDLESS_BYTES = 200 * 1_048_576
const BLOCK = Buffer.alloc(65_536, 'x')

describe('HttpTransport', () => {
  let server: Server
  let transport: HttpTransport
  let status: number
  let sentBytes: number

  beforeEach(async () => {
    sentBytes = 0
    status = 200
    server = createServer((_request, response) => { writeOn(response.writeHead(status, { 'content-type': 'text/event-stream' })) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    transport = new HttpTransport({ token: 'token', connectTimeoutMs: 1_000, idleTimeoutMs: 60_000 })
  })

  afterEach(async () => {
    server.closeAllConnections()
    server.close()
    await transport.close()
  })

  function writeOn (response: ServerResponse): void {
    if (sentBytes >= ENDLESS_BYTES) return
    response.write(BLOCK, (error) => {
      if (error !== null && error !== undefined) return
      sentBytes += BLOCK.length
      writeOn(response)
    })
  }

  const call = (): HttpCall => ({ address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'GET', path: '/', headers: {}, body: null })

  // Guards against callers whose memory is filled by an address that is no entry's.
  for (const answered of [200, 503]) {
    it(`ends an answer with status ${answered} and without end as broken`, async () => {
      status = answered
      const result = await transport.json(call())
      expect(result.ok ? 'answered' : result.error.kind).to.equal(CallFailureKind.Broken)
      expect(sentBytes).to.be.lessThan(ENDLESS_BYTES)
    })
  }

  it('ends a stream whose event has no end as broken', async () => {
    const step = await transport.stream(call()).next()
    expect(step.done).to.equal(true)
    expect((step.value as { kind: CallFailureKind }).kind).to.equal(CallFailureKind.Broken)
    expect(sentBytes).to.be.lessThan(ENDLESS_BYTES / 10)
  })
})
