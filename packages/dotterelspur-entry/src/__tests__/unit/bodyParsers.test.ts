import { once } from 'node:events'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { Readable } from 'node:stream'
import { expect } from 'chai'
import Fastify, { type FastifyInstance } from 'fastify'
import { BodyMemory } from 'dotterelspur'
import { SystemClock } from 'dotterelspur-clock'
import { usedMemoryBytes } from 'dotterelspur-testkit'
import { registerJsonParser, registerRawParser, sendUnreadBody, UnreadBody, type BodyLimits } from '../../connection/registerBodyParsers.js'

const BODY_BYTES = 1_048_576
const POLL_MS = 5
/** The body, the last bytes read, and what the connection takes. */
const MAX_USED_BYTES = 4 * BODY_BYTES

type Register = (app: FastifyInstance, limits: BodyLimits) => void

const registerAll: Register = (app, limits) => {
  registerJsonParser(app, limits)
  registerRawParser(app, limits)
}

function createApp (register: Register, maxBodyBytes = BODY_BYTES, memory = new BodyMemory(4 * BODY_BYTES, () => maxBodyBytes)): FastifyInstance {
  const app = Fastify({ bodyLimit: maxBodyBytes })
  app.setErrorHandler((error, _request, reply) => error instanceof UnreadBody ? sendUnreadBody(reply, error) : reply.send(error))
  register(app, { clock: new SystemClock(), maxBodyBytes, memory })
  app.post('/', async ({ body }) => Buffer.isBuffer(body) ? { length: body.length } : { length: (body as { text: string }).text.length })
  return app
}

const PARSERS: ReadonlyArray<{ readonly name: string, readonly register: Register, readonly contentType: string, readonly frame: readonly [string, string] }> = [
  { name: 'JSON', register: registerJsonParser, contentType: 'application/json', frame: ['{"text":"', '"}'] },
  { name: 'other', register: registerAll, contentType: 'application/octet-stream', frame: ['', ''] }
]

interface Upload {
  readonly response: string
  /** What the process held just before the end of the body, beyond what it held before. */
  readonly usedBytes: number
}

/** Sends a body in chunks of one byte. */
async function upload (app: FastifyInstance, contentType: string, [head, tail]: readonly [string, string]): Promise<Upload> {
  await app.listen({ host: '127.0.0.1', port: 0 })
  const accepted = once(app.server, 'connection')
  const caller = connect((app.server.address() as AddressInfo).port, '127.0.0.1')
  const [served] = await accepted as [Socket]
  const data = Buffer.from('1\r\nx\r\n'.repeat(BODY_BYTES - head.length - tail.length))
  const beforeBytes = usedMemoryBytes()
  caller.write(`POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Type: ${contentType}\r\nTransfer-Encoding: chunked\r\n\r\n${chunkOf(head)}`)
  caller.write(data)
  while (caller.bytesWritten > served.bytesRead || caller.writableLength > 0) await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
  const used = usedMemoryBytes() - beforeBytes
  caller.write(`${chunkOf(tail)}0\r\n\r\n`)
  const parts: Buffer[] = []
  for await (const part of caller) parts.push(part as Buffer)
  await app.close()
  return { response: Buffer.concat(parts).toString(), usedBytes: used }
}

function chunkOf (text: string): string {
  return text === '' ? '' : `${text.length.toString(16)}\r\n${text}\r\n`
}

describe('Parsers of request bodies', () => {
  for (const { name, register, contentType, frame } of PARSERS) {
    // Guards against a process that ends by a full heap: an object for each chunk of a body took many times the memory of its bytes.
    it(`take little more than the memory of ${name} bodies in chunks of one byte`, async () => {
      const { response, usedBytes: used } = await upload(createApp(register), contentType, frame)
      expect(response).to.include('200 OK').and.include(`{"length":${BODY_BYTES - frame.join('').length}}`)
      expect(used).to.be.lessThan(MAX_USED_BYTES)
    }).timeout(60_000)

    it(`refuse ${name} bodies over the limit`, async () => {
      const app = createApp(register, 16)
      const response = await app.inject({ method: 'POST', url: '/', headers: { 'content-type': contentType }, payload: Readable.from([Buffer.from('{"text":"'), Buffer.alloc(20, 'x'), Buffer.from('"}')]) })
      expect(response.statusCode).to.equal(413)
    })
  }

  // Guards against a process that ends because the bodies of many requests together take more than its memory.
  it('hold a body until its response, and refuse one for which there is no room as not run', async () => {
    const memory = new BodyMemory(BODY_BYTES / 2, () => 0)
    const app = createApp(registerAll, BODY_BYTES, memory)
    const payload = Buffer.alloc(BODY_BYTES / 4, 'x')
    const post = async () => await app.inject({ method: 'POST', url: '/', headers: { 'content-type': 'application/octet-stream' }, payload })
    expect((await post()).statusCode).to.equal(200)
    expect(memory.sizeBytes).to.equal(0)
    memory.open().add(BODY_BYTES, () => {})
    const refused = await post()
    expect([refused.statusCode, refused.headers['retry-after'], refused.json().error.outcome]).to.deep.equal([503, '1', 'not-run'])
    expect(memory.sizeBytes).to.equal(BODY_BYTES)
  })

  it('refuse JSON that is not valid, or would replace a prototype', async () => {
    const app = createApp(registerJsonParser)
    for (const payload of ['{', '{"__proto__":{"text":"x"}}']) {
      const response = await app.inject({ method: 'POST', url: '/', headers: { 'content-type': 'application/json' }, payload })
      expect(response.statusCode).to.equal(400)
    }
  })
})
