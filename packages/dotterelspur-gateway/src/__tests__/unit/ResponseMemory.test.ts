import { expect } from 'chai'
import { ResponseLimit } from '../../connection/responseLimits.js'
import { ResponseMemory, type ResponseBuffer } from '../../request/ResponseMemory.js'

const TOTAL_BYTES = 1_000_000
/** What callers may hold before responses get less. */
const FREE_BYTES = 500_000
const LEAST_BYTES = 200_000

describe('ResponseMemory', () => {
  let memory: ResponseMemory
  let ended: string[]
  let callerBytes: number

  beforeEach(() => {
    memory = new ResponseMemory({ totalBytes: TOTAL_BYTES, bodyBytes: TOTAL_BYTES, sharedBytes: TOTAL_BYTES + FREE_BYTES, leastBytes: LEAST_BYTES }, () => callerBytes)
    ended = []
    callerBytes = 0
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

  // Guards against callers and responses that each stay within their limit and together use up the memory of the process.
  it('leaves responses less while callers hold much, and what they need in any case', () => {
    const limitWith = (heldBytes: number): number => {
      callerBytes = heldBytes
      return memory.limit(ResponseLimit.Total)
    }
    expect([0, FREE_BYTES, FREE_BYTES + 300_000, 10 * TOTAL_BYTES].map(limitWith)).to.deep.equal([TOTAL_BYTES, TOTAL_BYTES, TOTAL_BYTES - 300_000, LEAST_BYTES])
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
