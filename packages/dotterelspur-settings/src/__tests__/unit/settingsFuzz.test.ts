import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import fc from 'fast-check'
import { MAX_PROBLEMS, MAX_SETTINGS_BYTES, diffSettings, formatSettingsError, parseNodeSettings, parseTeamSettings, type SettingsError } from '../../index.js'
import type { Result } from 'dotterelspur'

const SEED = 20_261_202
const RUNS = 1_500
const MAX_INPUT_BYTES = MAX_SETTINGS_BYTES + 1_000
const MAX_ERROR_LENGTH = 200_000

const EXAMPLES = ['tradeline-team.ini', 'piedmont-team.ini', 'tradeline-node.ini', 'loopback-node.ini']
  .map((name) => readFileSync(new URL(`../../../../../examples/${name}`, import.meta.url)))

/** Fragments that often cause parser errors. */
const PIECES = [
  '[', ']', '[team]', '[model a b c]', '[]', '[ ]', '=', '==', ';', '#', '"', '\\', '\\u0000', '\n', '\r', '\t', '\u0000', '\u2028', '\ufeff', '\ud800',
  '__proto__', 'constructor', '[__proto__]', 'toString = 1', '[route trips read]', 'true', 'null', '-1', '1e309', 'NaN', '0x10', '999999999999999999', '%s', ','
]

type Edit = (bytes: Buffer) => Buffer

function createEdit (): fc.Arbitrary<Edit> {
  const at = fc.double({ min: 0, max: 1, noNaN: true })
  const insert = fc.tuple(at, fc.oneof(fc.constantFrom(...PIECES).map((text) => Buffer.from(text)), fc.uint8Array({ maxLength: 8 }).map((bytes) => Buffer.from(bytes))))
    .map(([place, piece]): Edit => (bytes) => {
      const index = Math.floor(place * bytes.length)
      return Buffer.concat([bytes.subarray(0, index), piece, bytes.subarray(index)])
    })
  const cut = fc.tuple(at, at).map(([from, to]): Edit => (bytes) => Buffer.concat([bytes.subarray(0, Math.floor(Math.min(from, to) * bytes.length)), bytes.subarray(Math.floor(Math.max(from, to) * bytes.length))]))
  const repeat = fc.tuple(at, fc.integer({ min: 2, max: 40 })).map(([place, times]): Edit => (bytes) => {
    const half = bytes.subarray(Math.floor(place * bytes.length))
    return Buffer.concat([bytes, ...Array.from({ length: times }, () => half)]).subarray(0, MAX_INPUT_BYTES)
  })
  return fc.oneof(insert, cut, repeat)
}

/** An example with a few edits, lines of fragments, or arbitrary bytes. */
function createInput (): fc.Arbitrary<Buffer> {
  const edited = fc.tuple(fc.constantFrom(...EXAMPLES), fc.array(createEdit(), { minLength: 1, maxLength: 6 }))
    .map(([example, edits]) => edits.reduce<Buffer>((bytes, edit) => edit(bytes), Buffer.from(example)))
  const lines = fc.array(fc.array(fc.constantFrom(...PIECES, 'name', 'tiles', ' '), { maxLength: 5 }).map((pieces) => pieces.join('')), { maxLength: 40 }).map((all) => Buffer.from(all.join('\n')))
  return fc.oneof({ weight: 6, arbitrary: edited }, { weight: 2, arbitrary: lines }, { weight: 1, arbitrary: fc.uint8Array({ maxLength: 600 }).map((bytes) => Buffer.from(bytes)) })
}

function expectBoundedError (result: Result<unknown, SettingsError>): void {
  if (result.ok) return
  const { problems } = result.error
  expect(problems.length).to.be.within(1, MAX_PROBLEMS)
  for (const problem of problems) {
    expect(problem.file).to.equal('fuzz.ini')
    expect(problem.accepted).to.not.equal('')
  }
  const text = formatSettingsError(result.error)
  expect(text.length).to.be.lessThan(MAX_ERROR_LENGTH)
  // eslint-disable-next-line no-control-regex
  expect(text).to.not.match(/[\u0000-\u0009\u000b-\u001f\u007f]/)
}

describe('settings under arbitrary input', () => {
  it('parseTeamSettings and parseNodeSettings return settings or a well-formed, bounded error', () => {
    fc.assert(fc.property(createInput(), (input) => {
      expectBoundedError(parseTeamSettings(input, 'fuzz.ini'))
      expectBoundedError(parseNodeSettings(input, 'fuzz.ini'))
      expectBoundedError(diffSettings(EXAMPLES[0]!.toString(), input.toString('latin1'), 'fuzz.ini'))
    }), { seed: SEED, numRuns: RUNS })
  })

  it('accepted settings are within their limits, and parsing them again gives the same result', () => {
    let accepted = 0
    fc.assert(fc.property(createInput(), (input) => {
      const first = parseTeamSettings(input, 'fuzz.ini')
      if (!first.ok) return
      accepted++
      expect(first.value.priority).to.be.within(0, 100)
      expect(first.value.weights.groupDowntime + first.value.weights.strandedAccelerators).to.be.greaterThan(0)
      for (const model of first.value.models) expect(model.vmsPerReplica).to.be.within(1, 64)
      expect(parseTeamSettings(input.toString(), 'fuzz.ini')).to.deep.equal(first)
    }), { seed: SEED, numRuns: RUNS })
    expect(accepted).to.be.greaterThan(0)
  })

  it('a file of maximum size with a problem on each line gives a bounded error', () => {
    const inputs = ['x\n', '[a]\n', '=\n', '[\n', 'a = 1\n', '\u0000\n', ';\n'].map((line) => line.repeat(Math.floor(MAX_SETTINGS_BYTES / line.length)))
    for (const input of inputs) expectBoundedError(parseTeamSettings(input, 'fuzz.ini'))
  })
})
