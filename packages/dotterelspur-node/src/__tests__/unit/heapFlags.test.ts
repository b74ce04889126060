import { expect } from 'chai'
import { heapFlags, heapWarning } from '../../process/heapFlags.js'

const MEMORY_BYTES = 250_000_000

describe('heapFlags', () => {
  it('limit the heap to two thirds of the memory, and its young generation to 4 MiB', () => {
    expect(heapFlags(MEMORY_BYTES)).to.deep.equal(['--max-semi-space-size=4', '--max-old-space-size=160'])
  })
})

describe('heapWarning', () => {
  it('names the flags for a process whose heap may outgrow its memory', () => {
    expect(heapWarning(4_000_000_000, MEMORY_BYTES)).to.equal('the heap may grow to 4000000000 bytes, beyond memory-bytes = 250000000; start with NODE_OPTIONS="--max-semi-space-size=4 --max-old-space-size=160"')
  })

  it('is silent where the heap leaves room', () => {
    expect(heapWarning(180_000_000, MEMORY_BYTES)).to.equal(null)
  })
})
