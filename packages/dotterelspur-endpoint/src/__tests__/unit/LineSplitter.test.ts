import { expect } from 'chai'
import { usedMemoryBytes } from 'dotterelspur-testkit'
import { LineSplitter } from '../../request/LineSplitter.js'

const LINE_BYTES = 1_048_576

describe('LineSplitter', () => {
  // Guards against a process that ends by a full heap: an object for each part of a line took many times the memory of its bytes.
  it('takes no more than twice the memory of a line that arrives in parts of one byte', () => {
    const splitter = new LineSplitter(LINE_BYTES)
    const bytes = Buffer.alloc(LINE_BYTES, 'x')
    const beforeBytes = usedMemoryBytes()
    let lines = 0
    for (let at = 0; at < LINE_BYTES; at++) lines += splitter.push(bytes.subarray(at, at + 1))!.length
    expect(lines).to.equal(0)
    expect(usedMemoryBytes() - beforeBytes).to.be.lessThan(2 * LINE_BYTES)
    expect(splitter.push(Buffer.from('\nab\n'))).to.deep.equal([bytes.toString(), 'ab'])
  })

  it('rejects a line over the limit, however it arrives', () => {
    for (const parts of [['abcde'], ['abcde\n'], ['abc', 'de'], ['abc', 'de\n']]) {
      const splitter = new LineSplitter(4)
      expect(parts.map((part) => splitter.push(Buffer.from(part))).at(-1), parts.join('|')).to.equal(undefined)
    }
  })
})
