import { expect } from 'chai'
import fc from 'fast-check'
import { PoisonLedger, PoisonState, type PoisonLimits, type PoisonSubject } from '../../PoisonLedger.js'
import type { PoisonRecord } from '../../PoisonRecord.js'

const LIMITS: PoisonLimits = { quarantineEnds: 3, mostRecords: 50, memoryMs: 60_000 }
/** Late enough for every assessment to be final. */
const SETTLED_MS = 10_000
const SEED = 20261203
const RUNS = 200

function createSubject (fingerprint: string, caller = 'tradeline'): PoisonSubject {
  return { fingerprint, outline: 1, service: 'llm', caller }
}

function terminateAll (ledger: PoisonLedger, subject: PoisonSubject, endpoints: readonly string[], nowMs = 0): void {
  for (const endpoint of endpoints) ledger.noteTermination(subject, { endpoint, pieces: 0 }, nowMs)
}

describe('PoisonLedger', () => {
  it('moves from trusted to suspected to quarantined with each termination', () => {
    const ledger = new PoisonLedger(LIMITS)
    const states = ['e1', 'e2', 'e3'].map((endpoint) => {
      terminateAll(ledger, createSubject('p'), [endpoint])
      return ledger.stateOf('p', 0)
    })
    expect(states).to.deep.equal([PoisonState.Trusted, PoisonState.Suspected, PoisonState.Settling])
    expect(ledger.stateOf('p', SETTLED_MS)).to.equal(PoisonState.Quarantined)
  })

  it('counts an endpoint once, however many copies of the request it had', () => {
    const ledger = new PoisonLedger(LIMITS)
    terminateAll(ledger, createSubject('p'), ['e1', 'e1', 'e1', 'e1'])
    expect(ledger.stateOf('p', SETTLED_MS)).to.equal(PoisonState.Trusted)
  })

  it('clears a request by a whole answer', () => {
    // Guards against quarantining a popular request on a day with many crashes: it is in flight nearly everywhere, so it
    // is present at each of three terminations; between them it is answered as always, but only terminations were
    // counted.
    const ledger = new PoisonLedger(LIMITS)
    terminateAll(ledger, createSubject('popular'), ['e1', 'e2'])
    ledger.noteAnswer('popular', 10)
    terminateAll(ledger, createSubject('popular'), ['e3', 'e4'], 20)
    expect(ledger.stateOf('popular', SETTLED_MS)).to.equal(PoisonState.Suspected)
    ledger.noteAnswer('popular', 30)
    expect(ledger.stateOf('popular', SETTLED_MS)).to.equal(PoisonState.Trusted)
  })

  it('keeps a request in quarantine by decision without a record of its terminations', () => {
    const ledger = new PoisonLedger(LIMITS)
    ledger.noteDecision('p', 7)
    expect(ledger.mayHaveRecord(7)).to.equal(true)
    expect(ledger.stateOf('p', SETTLED_MS)).to.equal(PoisonState.Quarantined)
    ledger.noteQuarantineLifted('p', 0)
    expect(ledger.stateOf('p', SETTLED_MS)).to.equal(PoisonState.Trusted)
  })

  it('counts terminations anew after an operator released a request', () => {
    const ledger = new PoisonLedger(LIMITS)
    terminateAll(ledger, createSubject('p'), ['e1', 'e2', 'e3'])
    ledger.noteDecision('p', 1)
    ledger.noteQuarantineLifted('p', 0)
    expect(ledger.stateOf('p', SETTLED_MS)).to.equal(PoisonState.Trusted)
    terminateAll(ledger, createSubject('p'), ['e4', 'e5', 'e6'])
    ledger.stateOf('p', 0)
    expect(ledger.stateOf('p', SETTLED_MS)).to.equal(PoisonState.Quarantined)
  })

  it('drops records without recent evidence, also when other nodes send them again', () => {
    const ledger = new PoisonLedger(LIMITS)
    terminateAll(ledger, createSubject('p'), ['e1', 'e2'])
    const exported = ledger.exportRecords(50_000, true)
    ledger.expire(60_000)
    expect(ledger.isEmpty).to.equal(true)
    ledger.merge(exported, 60_000)
    ledger.expire(70_000)
    expect(ledger.isEmpty).to.equal(true)
  })

  it('does not let a caller with a thousand such requests displace another caller\'s record', () => {
    const ledger = new PoisonLedger(LIMITS)
    terminateAll(ledger, createSubject('other', 'piedmont'), ['e1', 'e2', 'e3'])
    for (let index = 0; index < 1_000; index++) terminateAll(ledger, createSubject(`p${index}`), [`a${index}`, `b${index}`, `c${index}`])
    ledger.stateOf('other', 0)
    expect(ledger.stateOf('other', SETTLED_MS)).to.equal(PoisonState.Quarantined)
    expect(ledger.exportRecords(0, true)).to.have.lengthOf(LIMITS.mostRecords)
  })

  it('reaches the same state for any order of messages, with duplicates and losses', () => {
    const end = fc.record({ fingerprint: fc.constantFrom('p', 'q', 'r'), endpoint: fc.constantFrom('e1', 'e2', 'e3', 'e4', 'e5'), pieces: fc.nat({ max: 2 }) })
    const answer = fc.record({ fingerprint: fc.constantFrom('p', 'q', 'r') })
    fc.assert(fc.property(fc.array(fc.oneof(end, answer), { maxLength: 30 }), fc.array(fc.nat({ max: 99 }), { maxLength: 60 }), (events, order) => {
      const source = new PoisonLedger(LIMITS)
      const messages: PoisonRecord[][] = []
      for (const event of events) {
        const changed = 'endpoint' in event ? source.noteTermination(createSubject(event.fingerprint), event, 0) : source.noteAnswer(event.fingerprint, 0)
        if (changed !== null) messages.push([changed])
      }
      const reader = new PoisonLedger(LIMITS)
      for (const at of order) if (messages.length > 0) reader.merge(messages[at % messages.length]!, 0)
      reader.merge(source.exportRecords(0, true), 0)
      for (const fingerprint of ['p', 'q', 'r']) expect(reader.stateOf(fingerprint, SETTLED_MS)).to.equal(source.stateOf(fingerprint, SETTLED_MS))
    }), { seed: SEED, numRuns: RUNS })
  })
})
