import { EventEmitter } from 'node:events'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { expect } from 'chai'
import { BodyErrorKind, readBody } from '../../readBody.js'
import { readBytes, readText } from '../../readBytes.js'

const MIB = 1_048_576
const BODY_BYTES = 2 * MIB
/** As the HTTP parser hands chunks on: each is a view of the bytes that were read from the socket. */
const READ_BYTES = 65_536

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

function usedBytes (): number {
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

/** Emits the chunks of a body, and returns what is held of it before its end. */
function emitChunks (source: EventEmitter, chunkBytes: number): number {
  const beforeBytes = usedBytes()
  for (let readBytes = 0; readBytes < BODY_BYTES; readBytes += READ_BYTES) {
    const read = Buffer.alloc(READ_BYTES, readBytes / READ_BYTES)
    for (let at = 0; at < READ_BYTES; at += chunkBytes) source.emit('data', read.subarray(at, at + chunkBytes))
  }
  return usedBytes() - beforeBytes
}

describe('readBody', () => {
  // Guards against a process that ends by a full heap: an object for each chunk of a body took many times the memory of its bytes.
  for (const chunkBytes of [1, 4, 32, 65_536]) {
    it(`takes no more than twice the memory of a body that arrives in chunks of ${chunkBytes} bytes`, async () => {
      const source = new EventEmitter()
      const read = readBody(source, 4 * MIB)
      expect(emitChunks(source, chunkBytes)).to.be.lessThan(2 * BODY_BYTES)
      source.emit('end')
      const body = await read
      expect(body.ok && body.value.length).to.equal(BODY_BYTES)
      expect(body.ok && [0, READ_BYTES, BODY_BYTES - 1].map((at) => body.value[at])).to.deep.equal([0, 1, BODY_BYTES / READ_BYTES - 1])
    })
  }

  // Guards against the same with the responses of a service, such as the platform's.
  it('has a counterpart for responses that takes no more either', async () => {
    let usedAtEndBytes = Infinity
    async function * response (): AsyncGenerator<Buffer> {
      const beforeBytes = usedBytes()
      for (let readCount = 0; readCount < MIB; readCount += READ_BYTES) {
        const read = Buffer.alloc(READ_BYTES, 'x')
        for (let at = 0; at < READ_BYTES; at++) yield read.subarray(at, at + 1)
      }
      usedAtEndBytes = usedBytes() - beforeBytes
    }
    expect((await readBytes(response())).length).to.equal(MIB)
    expect(usedAtEndBytes).to.be.lessThan(2 * MIB)
  })

  it('has a counterpart for text, which decodes characters that are cut by chunks', async () => {
    async function * response (): AsyncGenerator<Buffer> {
      const bytes = Buffer.from('a\u20acb')
      for (let at = 0; at < bytes.length; at++) yield bytes.subarray(at, at + 1)
    }
    expect(await readText(response())).to.equal('a\u20acb')
  })

  const ENDS: ReadonlyArray<{ readonly name: string, readonly emit: (source: EventEmitter) => void, readonly expected: string }> = [
    { name: 'an empty body', emit: (source) => { source.emit('end') }, expected: '' },
    { name: 'a body of just the limit', emit: (source) => { source.emit('data', Buffer.from('abcd')); source.emit('end') }, expected: 'abcd' },
    { name: 'one byte over the limit', emit: (source) => { for (const chunk of ['abcd', 'e', 'f']) source.emit('data', Buffer.from(chunk)); source.emit('end') }, expected: BodyErrorKind.TooLarge },
    { name: 'an error in the middle', emit: (source) => { source.emit('data', Buffer.from('ab')); source.emit('error') }, expected: BodyErrorKind.Aborted },
    { name: 'a close in the middle', emit: (source) => { source.emit('data', Buffer.from('ab')); source.emit('close') }, expected: BodyErrorKind.Aborted }
  ]
  for (const { name, emit, expected } of ENDS) {
    it(`ends as stated with ${name}`, async () => {
      const source = new EventEmitter()
      const read = readBody(source, 4)
      emit(source)
      const body = await read
      expect(body.ok ? body.value.toString() : body.error).to.equal(expected)
    })
  }
})
