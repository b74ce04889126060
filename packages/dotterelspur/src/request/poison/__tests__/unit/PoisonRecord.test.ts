import { expect } from 'chai'
import { readPoisonRecords, type PoisonRecord } from '../../PoisonRecord.js'

const RECORD: PoisonRecord = { fingerprint: 'f'.repeat(32), outline: 7, service: 'llm', caller: null, answers: 0, ends: [{ endpoint: 'i-1', pieces: 0 }], ageMs: 20 }

describe('readPoisonRecords', () => {
  it('parses what was written', () => {
    expect(readPoisonRecords(JSON.parse(JSON.stringify([RECORD, { ...RECORD, caller: 'team-a' }, { ...RECORD, part: 'a', position: 1 }])))).to.deep.equal([RECORD, { ...RECORD, caller: 'team-a' }, { ...RECORD, part: 'a', position: 1 }])
  })

  it('leaves out malformed records', () => {
    const malformed: unknown[] = [null, 3, {}, { ...RECORD, fingerprint: 1 }, { ...RECORD, outline: '7' }, { ...RECORD, caller: undefined }, { ...RECORD, ends: null }, { ...RECORD, ends: [{ endpoint: 'i-1' }] }, { ...RECORD, ageMs: null }, { ...RECORD, part: 7, position: 0 }, { ...RECORD, part: 'a' }, { ...RECORD, ends: [{ endpoint: 'i-1', pieces: 0, request: 7 }] }, { ...RECORD, ends: [{ endpoint: 'i-1', pieces: 0, confirmed: 'yes' }] }]
    expect(readPoisonRecords([...malformed, RECORD])).to.deep.equal([RECORD])
    for (const written of [undefined, null, 'text', { 0: RECORD }]) expect(readPoisonRecords(written)).to.deep.equal([])
  })
})
