import { expect } from 'chai'
import { ResponseMemory, type ResponseBuffer } from '../../request/ResponseMemory.js'

const TOTAL_BYTES = 1_000_000

describe('ResponseMemory', () => {
  let memory: ResponseMemory
  let ended: string[]

  beforeEach(() => {
    memory = new ResponseMemory({ totalBytes: TOTAL_BYTES, bodyBytes: TOTAL_BYTES })
    ended = []
  })

  function buffer (name: string): ResponseBuffer {
    const self: ResponseBuffer = {
      endAt: (limit) => {
        ended.push(`${name} at ${limit}`)
        memory.noteSize(self, 0)
      }
    }
    return self
  }

  // Guards against responses that stay below their own limit and together use up the memory of the process.
  it('ends the largest response, and no other, when all together exceed the limit', () => {
    const [small, large, last] = [buffer('small'), buffer('large'), buffer('last')]
    memory.noteSize(small, 1)
    memory.noteSize(large, TOTAL_BYTES - 2)
    memory.noteSize(last, 1)
    expect(ended).to.deep.equal([])
    memory.noteSize(last, 2)
    expect(ended).to.deep.equal(['large at total'])
    expect(memory.sizeBytes).to.equal(3)
  })

  it('counts what a response buffers now, and nothing of one that has ended', () => {
    const response = buffer('response')
    for (let round = 0; round < 3; round++) {
      memory.noteSize(response, TOTAL_BYTES)
      memory.noteSize(response, 1)
      memory.noteSize(response, 0)
    }
    expect(memory.sizeBytes).to.equal(0)
    expect(ended).to.deep.equal([])
  })
})
