import { expect } from 'chai'
import fc from 'fast-check'
import { EventCursor } from '../../EventCursor.js'

function event (id: number): string {
  return `id: ${id}\ndata: ${'x'.repeat(id % 7)}\n\n`
}

describe('EventCursor', () => {
  it('returns the same bytes however they are split, in complete events only', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 30 }), fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 60 }), (count, cuts) => {
      const text = Array.from({ length: count }, (_unused, index) => event(index + 1)).join('')
      const cursor = new EventCursor(null)
      let taken = ''
      let at = 0
      for (let index = 0; at < text.length; index++) {
        const size = cuts[index % cuts.length]!
        const whole = cursor.push(Buffer.from(text.slice(at, at + size)))
        at += size
        if (whole === null) continue
        expect(whole.toString().endsWith('\n\n')).to.equal(true)
        taken += whole.toString()
      }
      expect(taken).to.equal(text)
      expect(cursor.lastEventId).to.equal(String(count))
    }), { seed: 20261202, numRuns: 300 })
  })

  for (const [name, lineEnd] of Object.entries({ CR: '\r', LF: '\n', CRLF: '\r\n' })) {
    it(`recognises events whose lines end in ${name}, however they are split`, () => {
      fc.assert(fc.property(fc.integer({ min: 1, max: 8 }), fc.integer({ min: 1, max: 9 }), (count, size) => {
        const text = Array.from({ length: count }, (_unused, index) => event(index + 1)).join('').replaceAll('\n', lineEnd)
        const cursor = new EventCursor(null)
        let taken = ''
        for (let at = 0; at < text.length; at += size) taken += cursor.push(Buffer.from(text.slice(at, at + size)))?.toString() ?? ''
        expect(cursor.isInsideEvent).to.equal(false)
        expect(taken + cursor.takeRemainder().toString()).to.equal(text)
        expect(cursor.lastEventId).to.equal(String(count))
      }), { seed: 20261203, numRuns: 200 })
    })
  }

  it('divides any bytes as if all that are not complete were read again with each chunk', () => {
    const text = fc.array(fc.constantFrom('\r', '\n', 'a', 'id: 1', ':'), { maxLength: 60 }).map((parts) => parts.join(''))
    fc.assert(fc.property(text, fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1, maxLength: 20 }), (whole, cuts) => {
      const cursor = new EventCursor(null)
      let partial = ''
      let at = 0
      for (let index = 0; at < whole.length; index++) {
        const chunk = whole.slice(at, at + cuts[index % cuts.length]!)
        at += chunk.length
        const bytes = partial + chunk
        // An empty line: a line end that follows another, where CRLF is one.
        const end = [...bytes.matchAll(/(?<=[\r\n])(?:(?<!\r)\n|(?<=[\r\n]\r)\n|\r)/g)].reduce((last, match) => Math.max(last, match.index + 1), 0)
        partial = bytes.slice(end)
        expect(cursor.push(Buffer.from(chunk))?.toString() ?? '').to.equal(bytes.slice(0, end))
        expect(cursor.incompleteBytes).to.equal(partial.length)
        expect(cursor.isInsideEvent).to.equal(/[^\r\n]/.test(partial))
      }
      expect(cursor.takeRemainder().toString()).to.equal(partial)
    }), { seed: 20261204, numRuns: 2_000 })
  })

  it('copies a long event a bounded number of times, however it is split', () => {
    // Guards against an event loop that is held by one event without end: all of it was copied and searched again with each chunk.
    const chunkBytes = 64
    const concat = Buffer.concat
    let copiedBytes = 0
    Buffer.concat = (list, length) => {
      const joined = concat(list as Uint8Array[], length)
      copiedBytes += joined.length
      return joined
    }
    try {
      const text = Buffer.from(`id: 1\ndata: ${'x'.repeat(256 * 1_024)}\n\n`)
      const cursor = new EventCursor(null)
      const taken: Buffer[] = []
      for (let at = 0; at < text.length; at += chunkBytes) taken.push(cursor.push(text.subarray(at, at + chunkBytes)) ?? Buffer.alloc(0))
      expect(concat(taken).equals(text)).to.equal(true)
      expect(copiedBytes).to.be.at.most(4 * text.length)
    } finally {
      Buffer.concat = concat
    }
  })

  it('is inside an event at each byte but those after an empty line', () => {
    const text = event(1) + event(2)
    const cursor = new EventCursor(null)
    const boundaries = [...text].flatMap((character, at) => {
      cursor.push(Buffer.from(character))
      return cursor.isInsideEvent ? [] : [at + 1]
    })
    expect(boundaries).to.deep.equal([event(1).length, text.length])
  })

  it('continues after the last complete event when a sender stops in the middle of one', () => {
    // Guards against a stream with a corrupt event: an endpoint dies in the middle of an event, another continues after
    // the last complete one, and the partial event was already forwarded or was kept before the continuation's bytes.
    const cursor = new EventCursor(null)
    cursor.push(Buffer.from(event(1) + 'id: 2\nda'))
    cursor.dropPartialEvent()
    expect(cursor.lastEventId).to.equal('1')
    expect(cursor.push(Buffer.from(event(2)))?.toString()).to.equal(event(2))
  })

  it('starts from the last event that the caller already has', () => {
    expect(new EventCursor('12').lastEventId).to.equal('12')
  })

  it('does not mistake text inside a line for an id field', () => {
    const cursor = new EventCursor(null)
    cursor.push(Buffer.from('id: 5\ndata: id: 9\n\n'))
    expect(cursor.lastEventId).to.equal('5')
  })
})
