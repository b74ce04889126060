import { expect } from 'chai'
import fc from 'fast-check'
import { ChunkKind, FinishReason } from 'dotterelspur'
import { acceptClose, acceptLine, startAssembly } from '../../index.js'

const SEED = 20_261
const LENGTH = 8

interface Line {
  readonly requestId: string
  readonly attempt: number
  readonly offset: number
  readonly last: boolean
}

function lineOf ({ requestId, attempt, offset, last }: Line): string {
  if (last) return JSON.stringify({ kind: ChunkKind.End, requestId, attempt, offset, finishReason: FinishReason.Stop, promptTokens: 1 })
  return JSON.stringify({ kind: ChunkKind.Tokens, requestId, attempt, offset, tokens: 1, text: `${requestId}/${attempt}/${offset} ` })
}

const WHOLE: readonly Line[] = Array.from({ length: LENGTH + 1 }, (_, offset) => ({ requestId: 'mine', attempt: 1, offset, last: offset === LENGTH }))
const WHOLE_TEXT = WHOLE.slice(0, LENGTH).map(({ offset }) => `mine/1/${offset} `).join('')

/** Feeds lines until the first fault, as a connection does. */
function deliver (lines: readonly Line[]): { readonly text: string, readonly whole: boolean } {
  let assembly = startAssembly('mine', 1, 0)
  let text = ''
  for (const line of lines) {
    const step = acceptLine(assembly, lineOf(line))
    if (!step.ok) return { text, whole: false }
    assembly = step.value.assembly
    if (step.value.chunk.kind === ChunkKind.Tokens) text += step.value.chunk.text
    if (assembly.ended) break
  }
  return { text, whole: acceptClose(assembly) === undefined }
}

describe('StreamAssembly', () => {
  it('delivers the whole answer of its own request or a prefix of it, whatever is mixed, lost, repeated or reordered', () => {
    const foreign = WHOLE.flatMap((line) => [{ ...line, requestId: 'other' }, { ...line, attempt: 2 }])
    const anyLine = fc.constantFrom(...WHOLE, ...foreign)
    const mostlyWhole = fc.tuple(fc.nat(LENGTH + 1), fc.array(anyLine, { maxLength: 12 }), fc.nat(LENGTH + 1))
      .map(([kept, noise, skipped]) => [...WHOLE.slice(0, kept), ...noise, ...WHOLE.slice(skipped)])
    fc.assert(fc.property(mostlyWhole, (lines) => {
      const { text, whole } = deliver(lines)
      expect(WHOLE_TEXT.startsWith(text)).to.equal(true)
      if (whole) expect(text).to.equal(WHOLE_TEXT)
    }), { seed: SEED, numRuns: 2_000 })
  })

  it('goes on from the offset that the caller already has', () => {
    const step = acceptLine(startAssembly('mine', 1, 3), lineOf(WHOLE[3]!))
    expect(step.ok && step.value.assembly.offset).to.equal(4)
  })

  it('takes nothing after the end mark', () => {
    const ended = { ...startAssembly('mine', 1, LENGTH), ended: true }
    expect(acceptLine(ended, lineOf(WHOLE[LENGTH]!)).ok).to.equal(false)
  })
})
