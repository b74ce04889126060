import { expect } from 'chai'
import { assessPoison } from '../../assessPoison.js'
import type { EndpointTermination, PoisonRecord } from '../../PoisonRecord.js'

const QUARANTINE_ENDS = 3
const PIECES = 3

function createRecord (fingerprint: string, ends: readonly string[], pieces = 0): PoisonRecord {
  return { fingerprint, outline: 1, service: 'llm', caller: 'tradeline', answers: 0, ends: ends.map((endpoint) => ({ endpoint, pieces })), ageMs: 0 }
}

/** A part of prompts whose requests are all different; `confirmed` of its terminations are. */
function createPart (fingerprint: string, ends: readonly string[], changes: { readonly confirmed?: number, readonly position?: number, readonly request?: string } = {}): PoisonRecord {
  const { confirmed = 2, position = 1, request } = changes
  const terminations = ends.map((endpoint, index): EndpointTermination => ({ endpoint, pieces: 0, request: request ?? `request at ${endpoint}`, confirmed: index >= ends.length - confirmed }))
  return { ...createRecord(fingerprint, []), part: fingerprint, position, ends: terminations }
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

  describe('of parts of prompts', () => {
    it('needs terminations of requests that were sent when the part was suspected', () => {
      expect(quarantined([createPart('part', ['e1', 'e2', 'e3', 'e4'], { confirmed: 1 })])).to.deep.equal([])
      expect(quarantined([createPart('part', ['e1', 'e2', 'e3', 'e4'])])).to.deep.equal(['part'])
    })

    it('needs many terminations where none is confirmed, more than a failure domain explains', () => {
      const endpoints = Array.from({ length: 16 }, (_unused, index) => `e${index}`)
      expect(quarantined([createPart('part', endpoints.slice(1), { confirmed: 0 })])).to.deep.equal([])
      expect(quarantined([createPart('part', endpoints, { confirmed: 0 })])).to.deep.equal(['part'])
    })

    it('does not blame a part that one request alone held: the request explains its terminations', () => {
      const records = [createRecord('request', ['e1', 'e2', 'e3']), createPart('part', ['e1', 'e2', 'e3'], { request: 'request' })]
      expect(quarantined(records)).to.deep.equal(['request'])
    })

    it('blames the part and not what stands before it in the same prompts', () => {
      const ends = ['e1', 'e2', 'e3', 'e4']
      expect(quarantined([createPart('first', ends, { position: 0 }), createPart('guilty', ends), createPart('beside', ends.slice(1), { position: 2 })])).to.deep.equal(['guilty'])
    })

    // Guards against requests that are all refused for the part that they share with the guilty one, once that one is quarantined.
    it('does not blame what was only at terminations of a quarantined part', () => {
      const ends = Array.from({ length: 12 }, (_unused, index) => `e${index}`)
      const first = createPart('first', ends, { position: 0 })
      expect(quarantined([first, createPart('guilty', ends)])).to.deep.equal(['guilty'])
      expect(assessPoison([first, createPart('guilty', ends)], new Set(), QUARANTINE_ENDS).weights.get('first')).to.equal(0)
      expect(quarantined([createPart('first', [...ends, 'f1', 'f2', 'f3', 'f4'], { position: 0 }), createPart('guilty', ends)])).to.deep.equal(['first'])
    })

    it('explains the terminations of the requests that hold it, and not the other way round', () => {
      const part = createPart('part', ['e1', 'e2', 'e3', 'e4', 'e5'])
      expect(quarantined([part, createRecord('holder', ['e1', 'e2', 'e3'])])).to.deep.equal(['part'])
      expect(quarantined([part, createRecord('other', ['e1', 'e2', 'e3'])], ['other'])).to.deep.equal(['other', 'part'])
    })
  })
})
