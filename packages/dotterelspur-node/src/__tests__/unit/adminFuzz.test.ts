import { connect } from 'node:net'
import { once } from 'node:events'
import { expect } from 'chai'
import fc from 'fast-check'
import { MAX_ADMIN_BODY_BYTES, adminErrorReplySchema } from 'dotterelspur-settings'
import { FLEET_TOKEN, createAdminFixture, createApply, createText, type AdminFixture } from './fixtures/createAdminFixture.js'

const SEED = 20_261_202
const RUNS = 400
const SETTINGS = '/admin/teams/tiles/settings'

const PATHS = [SETTINGS, `${SETTINGS}/diff`, `${SETTINGS}/validate`, '/admin/drains/group/g-1', '/admin/drains/vm/x', '/admin/drains/nothing/x', '/admin/teams/..%2f..%2fx/settings', '/admin/teams/%00/settings', '/admin/audit?day=%F0', '/admin/audit?limit=-1', '/admin/explain?subject=group', '/admin/explain?subject=__proto__&name=x', '/admin/teams/tiles/in-force?version=1e999']
const METHODS = ['GET', 'PUT', 'POST', 'DELETE']

/** A valid request with one field replaced or added, arbitrary JSON, or text that is not JSON. */
function createBody (): fc.Arbitrary<string> {
  const validRequest = createApply(createText('tiles'), null)
  const mutatedRequest = fc.tuple(fc.constantFrom(...Object.keys(validRequest), '__proto__', 'constructor', 'extra'), fc.jsonValue({ maxDepth: 2 }))
    .map(([key, value]) => `${JSON.stringify(validRequest).slice(0, -1)},${JSON.stringify(key)}:${JSON.stringify(value)}}`)
  return fc.oneof(mutatedRequest, fc.json(), fc.string({ maxLength: 200 }), fc.constantFrom('', '{', '[]', 'null', '"', '{"__proto__":{"a":1}}', '{"a":'.repeat(5_000)))
}

describe('AdminServer under arbitrary input', () => {
  let fixture: AdminFixture
  beforeEach(async () => { fixture = await createAdminFixture() })
  afterEach(async () => { await fixture.close() })

  it('responds to each request with a success or a well-formed error, and stays available', async () => {
    await fc.assert(fc.asyncProperty(fc.constantFrom(...METHODS), fc.constantFrom(...PATHS), createBody(), async (method, path, body) => {
      const reply = await fixture.send(method, path, method === 'GET' ? undefined : body)
      expect(reply.status).to.be.lessThan(500)
      if (reply.status >= 300) expect(adminErrorReplySchema.safeParse(reply.body).success, JSON.stringify(reply.body)).to.equal(true)
    }), { seed: SEED, numRuns: RUNS })
    expect((await fixture.send('GET', '/healthz')).status).to.equal(200)
  })

  it('rejects a body over the size limit', async () => {
    const reply = await fixture.send('PUT', SETTINGS, Buffer.alloc(MAX_ADMIN_BODY_BYTES + 1, 0x20))
    expect(reply.status).to.equal(413)
  })

  it('rejects a settings text and headers over their size limits', async () => {
    const long = await fixture.send('PUT', SETTINGS, createApply(';'.repeat(300_000), null))
    const header = 'x'.repeat(20_000)
    const headers = await fixture.send('GET', '/admin/status', undefined, header)
    expect([long.status, headers.status]).to.deep.equal([400, 431])
  })

  const raw: ReadonlyArray<{ title: string, bytes: string }> = [
    { title: 'bytes that are not HTTP', bytes: '\u0000\u0001\u0002\r\n\r\n' },
    { title: 'a header that does not end', bytes: `GET / HTTP/1.1\r\nx: ${'y'.repeat(40_000)}` },
    { title: 'two Content-Length headers', bytes: `PUT ${SETTINGS} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${FLEET_TOKEN}\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}` },
    { title: 'both Content-Length and Transfer-Encoding', bytes: `PUT ${SETTINGS} HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n` },
    { title: 'a chunk size that is not a number', bytes: `PUT ${SETTINGS} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${FLEET_TOKEN}\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n` }
  ]
  for (const { title, bytes } of raw) {
    it(`closes a connection that sends ${title}, and stays available`, async () => {
      const { port, hostname } = new URL(fixture.address)
      const socket = connect(Number(port), hostname)
      socket.on('error', () => {})
      socket.resume()
      socket.write(bytes)
      await once(socket, 'close')
      expect((await fixture.send('GET', '/healthz')).status).to.equal(200)
    })
  }
})
