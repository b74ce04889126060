import { expect } from 'chai'
import fc from 'fast-check'
import { ByteCollector } from '../../ByteCollector.js'

describe('ByteCollector', () => {
  it('returns the same bytes however they are split, and none twice', () => {
    fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 300 }), { maxLength: 40 }), (chunks) => {
      const collector = new ByteCollector()
      for (let round = 0; round < 2; round++) {
        for (const chunk of chunks) collector.push(Buffer.from(chunk))
        const expected = Buffer.concat(chunks)
        expect(collector.sizeBytes).to.equal(expected.length)
        expect(collector.take().equals(expected)).to.equal(true)
        expect(collector.sizeBytes).to.equal(0)
      }
    }), { seed: 20261204, numRuns: 300 })
  })

  it('keeps its bytes when the buffer of a chunk is used again', () => {
    const collector = new ByteCollector()
    const chunk = Buffer.from('first')
    collector.push(chunk)
    chunk.fill('x')
    collector.push(Buffer.from('second'))
    expect(collector.take().toString()).to.equal('firstsecond')
  })
})
