import { expect } from 'chai'
import { assessPoison } from '../../assessPoison.js'
import type { PoisonRecord } from '../../PoisonRecord.js'

const QUARANTINE_ENDS = 3
const PIECES = 3

function createRecord (fingerprint: string, ends: readonly string[], pieces = 0): PoisonRecord {
  return { fingerprint, outline: 1, service: 'llm', caller: 'tradeline', answers: 0, ends: ends.map((endpoint) => ({ endpoint, pieces })), ageMs: 0 }
}

function quarantined (records: readonly PoisonRecord[], decided: readonly string[] = []): string[] {
  return [...assessPoison(records, new Set(decided), QUARANTINE_ENDS).quarantined].sort()
}

describe('assessPoison', () => {
  it('needs three terminations of a request that had no part of an answer', () => {
    expect(quarantined([createRecord('poison', ['e1', 'e2'])])).to.deep.equal([])
    expect(quarantined([createRecord('poison', ['e1', 'e2', 'e3'])])).to.deep.equal(['poison'])
  })

  it('needs twice as many of a request that was being answered, which usually is there by chance', () => {
    expect(quarantined([createRecord('stream', ['e1', 'e2', 'e3', 'e4', 'e5'], PIECES)])).to.deep.equal([])
    expect(quarantined([createRecord('stream', ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'], PIECES)])).to.deep.equal(['stream'])
  })

  it('quarantines only the request with the most terminations where others were present as well', () => {
    const records = [createRecord('poison', ['e1', 'e2', 'e3', 'e4']), createRecord('beside', ['e1', 'e2', 'e3']), createRecord('also', ['e2', 'e3', 'e4'])]
    expect(quarantined(records)).to.deep.equal(['poison'])
    expect(assessPoison(records, new Set(), QUARANTINE_ENDS).weights.get('beside')).to.equal(1.5)
  })

  it('quarantines neither of two requests with the same terminations, until one has another', () => {
    const twins = [createRecord('one', ['e1', 'e2', 'e3']), createRecord('other', ['e1', 'e2', 'e3'])]
    expect(quarantined(twins)).to.deep.equal([])
    expect(quarantined([createRecord('one', ['e1', 'e2', 'e3', 'e4']), twins[1]!])).to.deep.equal(['one'])
  })

  it('quarantines another request for terminations at which no quarantined request was present', () => {
    const records = [createRecord('first', ['e1', 'e2', 'e3', 'e4']), createRecord('second', ['e4', 'e5', 'e6', 'e7'])]
    expect(quarantined(records)).to.deep.equal(['first', 'second'])
  })

  it('explains terminations by requests that were quarantined before', () => {
    const records = [createRecord('decided', ['e1', 'e2']), createRecord('beside', ['e1', 'e2', 'e3'])]
    expect(quarantined(records, ['decided'])).to.deep.equal(['decided'])
  })

  it('does not depend on the order of the records', () => {
    const records = [createRecord('a', ['e1', 'e2', 'e3']), createRecord('b', ['e3', 'e4', 'e5']), createRecord('c', ['e5', 'e6', 'e1', 'e7'])]
    expect(quarantined([...records].reverse())).to.deep.equal(quarantined(records))
  })
})
