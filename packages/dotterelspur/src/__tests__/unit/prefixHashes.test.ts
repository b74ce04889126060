import { expect } from 'chai'
import { PREFIX_BLOCK_CHARACTERS, prefixHashes } from '../../index.js'

const BLOCK = 'a'.repeat(PREFIX_BLOCK_CHARACTERS)

describe('prefixHashes', () => {
  const cases: ReadonlyArray<{ name: string, prompt: string, maxBlocks?: number, count: number }> = [
    { name: 'no prompt', prompt: '', count: 0 },
    { name: 'one character less than a block', prompt: BLOCK.slice(1), count: 0 },
    { name: 'one block', prompt: BLOCK, count: 1 },
    { name: 'two blocks and part of a third', prompt: `${BLOCK}${BLOCK}a`, count: 2 },
    { name: 'at most maxBlocks', prompt: BLOCK.repeat(5), maxBlocks: 3, count: 3 }
  ]
  for (const { name, prompt, maxBlocks, count } of cases) {
    it(name, () => { expect(prefixHashes(prompt, maxBlocks)).to.have.length(count) })
  }

  it('gives prompts with the same beginning the same hashes for it', () => {
    expect(prefixHashes(BLOCK + 'x'.repeat(200))[0]).to.equal(prefixHashes(BLOCK)[0])
    expect(prefixHashes(`${BLOCK}x`.repeat(2))[1]).to.not.equal(prefixHashes(BLOCK.repeat(2))[1])
  })

  it('hashes UTF-8, half a surrogate pair as U+FFFD', () => {
    const cut = `${BLOCK.slice(1)}\u{1F686}`
    expect(prefixHashes(cut)).to.deep.equal(prefixHashes(`${BLOCK.slice(1)}\uFFFD`))
    expect(prefixHashes('é'.repeat(PREFIX_BLOCK_CHARACTERS))).to.not.deep.equal(prefixHashes('\u00c3\u00a9'.repeat(PREFIX_BLOCK_CHARACTERS / 2)))
  })

  // Expected values from an independent implementation: MurmurHash3_x86_32 with seed 0 over the 64 and 128 bytes.
  it('is the hash function of the engine contract', () => {
    expect(prefixHashes(BLOCK.repeat(2))).to.deep.equal([0xee9d2997, 0x699922fb])
  })
})
