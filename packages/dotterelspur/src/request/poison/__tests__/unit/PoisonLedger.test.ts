import { expect } from 'chai'
import fc from 'fast-check'
import { PoisonLedger, PoisonState, type PoisonLimits, type PoisonSubject } from '../../PoisonLedger.js'
import type { PoisonRecord } from '../../PoisonRecord.js'

const LIMITS: PoisonLimits = { quarantineEnds: 3, mostRecords: 50, memoryMs: 60_000 }
/** Late enough for every judgement to stand. */
const SETTLED_MS = 10_000
const SEED = 20261203
const RUNS = 200

function createSubject (fingerprint: string, caller = 'tradeline'): PoisonSubject {
  return { fingerprint, outline: 1, service: 'llm', caller }
}

function endAll (ledger: PoisonLedger, subject: PoisonSubject, endpoints: readonly string[], nowMs = 0): void {
  for (const endpoint of endpoints) ledger.noteTermination(subject, { endpoint, pieces: 0 }, nowMs)
}

describe('PoisonLedger', () => {
  it('trusts, suspects, and puts in quarantine, with each end', () => {
    const ledger = new PoisonLedger(LIMITS)
    const states = ['e1', 'e2', 'e3'].map((endpoint) => {
      endAll(ledger, createSubject('p'), [endpoint])
      return ledger.stateOf('p', 0)
    })
    expect(states).to.deep.equal([PoisonState.Trusted, PoisonState.Suspected, PoisonState.Settling])
    expect(ledger.stateOf('p', SETTLED_MS)).to.equal(PoisonState.Quarantined)
  })

  it('counts an endpoint once, however many copies of the request it had', () => {
    const ledger = new PoisonLedger(LIMITS)
    endAll(ledger, createSubject('p'), ['e1', 'e1', 'e1', 'e1'])
    expect(ledger.stateOf('p', SETTLED_MS)).to.equal(PoisonState.Trusted)
  })

  it('lets a whole answer speak for a request', () => {
    // Symptom: a request that many callers send is refused on a day with many crashes. Sequence: it is under way nearly
    // everywhere, so it is at each of three ends; between them it is answered as always. Cause: ends were counted alone.
    const ledger = new PoisonLedger(LIMITS)
    endAll(ledger, createSubject('popular'), ['e1', 'e2'])
    ledger.noteAnswer('popular', 10)
    endAll(ledger, createSubject('popular'), ['e3', 'e4'], 20)
    expect(ledger.stateOf('popular', SETTLED_MS)).to.equal(PoisonState.Suspected)
    ledger.noteAnswer('popular', 30)
    expect(ledger.stateOf('popular', SETTLED_MS)).to.equal(PoisonState.Trusted)
  })

  it('keeps a request in quarantine by decision when nothing is known of its ends', () => {
    const ledger = new PoisonLedger(LIMITS)
    ledger.noteDecision('p', 7)
    expect(ledger.mayHaveRecord(7)).to.equal(true)
    expect(ledger.stateOf('p', SETTLED_MS)).to.equal(PoisonState.Quarantined)
    ledger.noteQuarantineLifted('p', 0)
    expect(ledger.stateOf('p', SETTLED_MS)).to.equal(PoisonState.Trusted)
  })

  it('counts ends anew after an operator let a request run again', () => {
    const ledger = new PoisonLedger(LIMITS)
    endAll(ledger, createSubject('p'), ['e1', 'e2', 'e3'])
    ledger.noteDecision('p', 1)
    ledger.noteQuarantineLifted('p', 0)
    expect(ledger.stateOf('p', SETTLED_MS)).to.equal(PoisonState.Trusted)
    endAll(ledger, createSubject('p'), ['e4', 'e5', 'e6'])
    ledger.stateOf('p', 0)
    expect(ledger.stateOf('p', SETTLED_MS)).to.equal(PoisonState.Quarantined)
  })

  it('forgets what was not seen for long, also when others tell it again', () => {
    const ledger = new PoisonLedger(LIMITS)
    endAll(ledger, createSubject('p'), ['e1', 'e2'])
    const told = ledger.exportRecords(50_000, true)
    ledger.expire(60_000)
    expect(ledger.isEmpty).to.equal(true)
    ledger.merge(told, 60_000)
    ledger.expire(70_000)
    expect(ledger.isEmpty).to.equal(true)
  })

  it('does not let a caller with a thousand such requests push out what is known of another one', () => {
    const ledger = new PoisonLedger(LIMITS)
    endAll(ledger, createSubject('other', 'piedmont'), ['e1', 'e2', 'e3'])
    for (let index = 0; index < 1_000; index++) endAll(ledger, createSubject(`p${index}`), [`a${index}`, `b${index}`, `c${index}`])
    ledger.stateOf('other', 0)
    expect(ledger.stateOf('other', SETTLED_MS)).to.equal(PoisonState.Quarantined)
    expect(ledger.exportRecords(0, true)).to.have.lengthOf(LIMITS.mostRecords)
  })

  it('comes to the same whatever order messages come in, how often, and which of them are lost on one of several ways', () => {
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
