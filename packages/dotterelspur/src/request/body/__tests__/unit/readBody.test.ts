import { EventEmitter } from 'node:events'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { expect } from 'chai'
import { ManualClock } from '../../../../process/Clock.js'
import { BodyMemory, type HeldBody } from '../../BodyMemory.js'
import { bodyWaitMs } from '../../bodyWaitMs.js'
import { BodyErrorKind, readBody } from '../../readBody.js'
import { readBytes, readText } from '../../readBytes.js'

const MIB = 1_048_576
const BODY_BYTES = 2 * MIB
/** As the HTTP parser hands chunks on: each is a view of the bytes that were read from the socket. */
const READ_BYTES = 65_536

/** A stream whose chunks the test emits; it notes whether it is paused. */
class Source extends EventEmitter {
  isPaused = false

  pause (): void { this.isPaused = true }

  resume (): void { this.isPaused = false }
}

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

function usedBytes (): number {
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

/** Emits the chunks of a body, and returns what is held of it before its end. */
function emitChunks (source: Source, chunkBytes: number): number {
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
      const source = new Source()
      const read = readBody(source, 4 * MIB, new BodyMemory(4 * MIB, () => 0).open(), new ManualClock())
      expect(emitChunks(source, chunkBytes)).to.be.lessThan(2 * BODY_BYTES)
      source.emit('end')
      const body = await read
      expect(body.ok && body.value.length).to.equal(BODY_BYTES)
      expect(body.ok && [0, READ_BYTES, BODY_BYTES - 1].map((at) => body.value[at])).to.deep.equal([0, 1, BODY_BYTES / READ_BYTES - 1])
    })
  }

  describe('while the memory for bodies is full', () => {
    const CHUNK = Buffer.alloc(READ_BYTES, 'x')

    function createUpload (memory: BodyMemory, clock: ManualClock, maxWaitMs?: () => number, statedBytes: number | null = null): { source: Source, held: HeldBody, result: Promise<unknown>, send: (chunks: number) => void } {
      const source = new Source()
      const held = memory.open(() => {}, statedBytes)
      const result = readBody(source, MIB, held, clock, maxWaitMs).then((body) => body.ok ? body.value.length : body.error)
      return { source, held, result, send: (chunks) => { for (let chunk = 0; chunk < chunks; chunk++) source.emit('data', CHUNK) } }
    }

    // Guards against a process that ends because the bodies of many requests together take more than its memory.
    it('pauses all large bodies but the oldest, and resumes them as room is made', async () => {
      const clock = new ManualClock()
      const memory = new BodyMemory(4 * READ_BYTES, () => MIB)
      const uploads = [0, 1, 2].map(() => createUpload(memory, clock))
      for (const { send } of uploads) send(2)
      expect(uploads.map(({ source }) => source.isPaused), 'after two chunks each').to.deep.equal([false, true, true])
      uploads[0]!.send(3)
      expect(uploads[0]!.source.isPaused, 'the oldest one').to.equal(false)
      uploads[0]!.source.emit('end')
      expect(await uploads[0]!.result).to.equal(5 * READ_BYTES)
      expect(uploads.map(({ source }) => source.isPaused), 'the oldest one is complete').to.deep.equal([false, false, true])
      uploads[0]!.held.release()
      expect(uploads.map(({ source }) => source.isPaused), 'its request has ended').to.deep.equal([false, false, true])
      uploads[1]!.source.emit('end')
      await uploads[1]!.result
      uploads[1]!.held.release()
      expect(uploads[2]!.source.isPaused).to.equal(false)
      expect(memory.sizeBytes).to.equal(2 * READ_BYTES)
    })

    it('refuses a body that has waited for too long, reads its rest, and makes room for others', async () => {
      const clock = new ManualClock()
      const memory = new BodyMemory(2 * READ_BYTES, () => 0)
      const uploads = [0, 1].map(() => createUpload(memory, clock))
      for (const { send } of uploads) send(2)
      clock.advance(700)
      expect(uploads.map(({ source }) => source.isPaused)).to.deep.equal([true, true])
      clock.advance(100)
      expect(await Promise.all(uploads.map(async ({ result }) => await result))).to.deep.equal([BodyErrorKind.NoRoom, BodyErrorKind.NoRoom])
      for (const { source, send } of uploads) {
        expect(source.isPaused).to.equal(false)
        send(2)
        source.emit('end')
      }
      expect([memory.sizeBytes, memory.waitingBodies]).to.deep.equal([0, 0])
    })

    // Guards against uploads that are refused though their callers would wait until it is their turn.
    it('reads bodies one after the other, in the order of their arrival, for as long as their callers wait', async () => {
      const clock = new ManualClock()
      const memory = new BodyMemory(8 * READ_BYTES, () => 4 * READ_BYTES)
      const uploads = Array.from({ length: 5 }, () => createUpload(memory, clock, () => 60_000, 4 * READ_BYTES))
      for (const { send } of uploads) send(1)
      const order: number[] = []
      while (order.length < uploads.length) {
        const reading = uploads.findIndex(({ source }, index) => !source.isPaused && !order.includes(index))
        expect(reading, `one goes on after ${order.join(', ')}`).to.be.at.least(0)
        const { send, source, result, held } = uploads[reading]!
        send(3)
        source.emit('end')
        expect(await result).to.equal(4 * READ_BYTES)
        clock.advance(400)
        held.release()
        order.push(reading)
      }
      expect(order).to.deep.equal([0, 1, 2, 3, 4])
    })

    it('refuses a body at once while as many wait as the memory bears', async () => {
      const clock = new ManualClock()
      const memory = new BodyMemory(2 * READ_BYTES, () => 0)
      const uploads = Array.from({ length: 10 }, () => createUpload(memory, clock, () => 60_000))
      for (const { send } of uploads) send(2)
      expect(memory.waitingBodies).to.equal(8)
      expect(await uploads.at(-1)!.result).to.equal(BodyErrorKind.NoRoom)
    })

    // Guards against callers that come back before those that wait have been read, send their body again and are refused again.
    it('tells how long a body would wait, by those that have waited', () => {
      const clock = new ManualClock()
      const memory = new BodyMemory(2 * READ_BYTES, () => MIB)
      const uploads = [0, 1, 2].map(() => createUpload(memory, clock, () => 60_000))
      for (const { send } of uploads) send(2)
      expect([memory.waitingBodies, memory.expectedWaitMs]).to.deep.equal([2, 0])
      clock.advance(900)
      uploads[0]!.source.emit('end')
      expect([memory.waitingBodies, memory.expectedWaitMs]).to.deep.equal([1, 900])
      uploads[1]!.source.emit('end')
      expect([memory.waitingBodies, memory.expectedWaitMs]).to.deep.equal([0, 0])
    })

    // Guards against callers that keep the place of others: one that sends a byte now and then takes memory for as long as it likes.
    it('refuses a body that hardly grows while others wait, and none while no one waits', async () => {
      const clock = new ManualClock()
      const memory = new BodyMemory(4 * READ_BYTES, () => MIB)
      const [slow, other] = [createUpload(memory, clock, () => 60_000), createUpload(memory, clock, () => 60_000)]
      slow.send(3)
      for (let second = 0; second < 5; second++) {
        clock.advance(1_000)
        slow.source.emit('data', Buffer.alloc(1))
      }
      expect(memory.sizeBytes).to.equal(3 * READ_BYTES + 5)
      other.send(2)
      expect(other.source.isPaused).to.equal(true)
      for (let second = 0; second < 2; second++) {
        slow.source.emit('data', Buffer.alloc(1))
        clock.advance(1_000)
      }
      expect(await slow.result).to.equal(BodyErrorKind.NoRoom)
      expect(other.source.isPaused).to.equal(false)
    })

    // Guards against connections of ordinary uploads that are closed without an answer where a refusal gives back enough.
    it('refuses those that wait, the newest first, for its owner', async () => {
      let relieve = (): boolean => false
      const owner = { heldBytes: 0, makeRoom: () => {}, registerRelief: (relief: () => boolean) => { relieve = relief; return () => {} } }
      const clock = new ManualClock()
      const uploads = [0, 1, 2].map(((memory) => () => createUpload(memory, clock, () => 60_000))(new BodyMemory(2 * READ_BYTES, () => 0, owner)))
      for (const { send } of uploads) send(2)
      expect([relieve(), await uploads[2]!.result]).to.deep.equal([true, BodyErrorKind.NoRoom])
      expect([relieve(), await uploads[1]!.result]).to.deep.equal([true, BodyErrorKind.NoRoom])
    })

    // Guards against bodies that take the memory which unread responses or many connections have already.
    it('pauses large bodies while their owner holds as much for other things', async () => {
      const owner = { heldBytes: 5 * READ_BYTES, makeRoom: () => {} }
      const memory = new BodyMemory(4 * READ_BYTES, () => 0, owner)
      const [first, second] = [0, 1].map(() => createUpload(memory, new ManualClock())) as [ReturnType<typeof createUpload>, ReturnType<typeof createUpload>]
      second.source.emit('data', Buffer.alloc(1_000))
      first.send(2)
      expect(first.source.isPaused).to.equal(true)
      owner.heldBytes = 3 * READ_BYTES
      second.source.emit('end')
      expect([await second.result, first.source.isPaused]).to.deep.equal([1_000, false])
      first.source.emit('end')
      expect(await first.result).to.equal(2 * READ_BYTES)
    })

    // Guards against an untrue refusal: unread responses held the memory, and were read while the body waited.
    it('does not refuse a body that has waited for too long if there is room by then', async () => {
      const clock = new ManualClock()
      const owner = { heldBytes: 5 * READ_BYTES, makeRoom: () => {} }
      const memory = new BodyMemory(4 * READ_BYTES, () => 0, owner)
      const { source, send, result } = createUpload(memory, clock)
      send(2)
      expect(source.isPaused).to.equal(true)
      owner.heldBytes = 0
      clock.advance(800)
      expect([source.isPaused, memory.waitingBodies]).to.deep.equal([false, 0])
      source.emit('end')
      expect(await result).to.equal(2 * READ_BYTES)
    })

    it('reads on if its owner makes room', () => {
      const owner = { heldBytes: 5 * READ_BYTES, makeRoom: () => { owner.heldBytes = 0 } }
      const { source, send } = createUpload(new BodyMemory(4 * READ_BYTES, () => 0, owner), new ManualClock())
      send(2)
      expect(source.isPaused).to.equal(false)
    })

    // Guards against small requests that wait for the uploads of others.
    it('reads small bodies on', async () => {
      const memory = new BodyMemory(READ_BYTES, () => 0)
      memory.open().add(8 * READ_BYTES, () => {})
      const { source, result } = createUpload(memory, new ManualClock())
      source.emit('data', Buffer.alloc(1_000))
      expect(source.isPaused).to.equal(false)
      source.emit('end')
      expect(await result).to.equal(1_000)
    })
  })

  const ENDS: ReadonlyArray<{ readonly name: string, readonly emit: (source: Source) => void, readonly expected: string }> = [
    { name: 'an empty body', emit: (source) => { source.emit('end') }, expected: '' },
    { name: 'a body of just the limit', emit: (source) => { source.emit('data', Buffer.from('abcd')); source.emit('end') }, expected: 'abcd' },
    { name: 'one byte over the limit', emit: (source) => { for (const chunk of ['abcd', 'e', 'f']) source.emit('data', Buffer.from(chunk)); source.emit('end') }, expected: BodyErrorKind.TooLarge },
    { name: 'an error in the middle', emit: (source) => { source.emit('data', Buffer.from('ab')); source.emit('error') }, expected: BodyErrorKind.Aborted },
    { name: 'a close in the middle', emit: (source) => { source.emit('data', Buffer.from('ab')); source.emit('close') }, expected: BodyErrorKind.Aborted }
  ]
  for (const { name, emit, expected } of ENDS) {
    it(`ends as stated with ${name}`, async () => {
      const source = new Source()
      const read = readBody(source, 4, new BodyMemory(4, () => 0).open(), new ManualClock())
      emit(source)
      const body = await read
      expect(body.ok ? body.value.toString() : body.error).to.equal(expected)
    })
  }
})

describe('bodyWaitMs', () => {
  const CASES = [
    { name: 'a request that its caller would send elsewhere', timeMs: 8_000, isIdempotent: true, waitMs: 750 },
    { name: 'one with little time', timeMs: 1_200, isIdempotent: true, waitMs: 300 },
    { name: 'one whose caller can only wait', timeMs: 8_000, isIdempotent: false, waitMs: 6_000 }
  ]
  for (const { name, timeMs, isIdempotent, waitMs } of CASES) {
    it(`leaves time to be served for ${name}`, () => { expect(bodyWaitMs(timeMs, isIdempotent)).to.equal(waitMs) })
  }
})

describe('readBytes', () => {
  // Guards against a process that ends by a full heap, with the responses of a service such as the platform's.
  it('takes no more than twice the memory of a response that arrives in chunks of one byte', async () => {
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

  it('decodes characters that are cut by chunks', async () => {
    async function * response (): AsyncGenerator<Buffer> {
      const bytes = Buffer.from('a\u20acb')
      for (let at = 0; at < bytes.length; at++) yield bytes.subarray(at, at + 1)
    }
    expect(await readText(response())).to.equal('a\u20acb')
  })
})
