import { expect } from 'chai'
import { MemberState, type EndpointRecord } from 'dotterelspur'
import { formationNumber, highestFencing } from '../../process/formationNumbers.js'
import { createEndpoint } from '../fixtures/builders.js'

function createMember (formation: number): EndpointRecord {
  return createEndpoint(`w${formation}`, '10.0.0.1:1', { membership: { group: 'g', formation, rank: 0, state: MemberState.Open } })
}

describe('Formation numbers', () => {
  it('of a later term are higher than all of an earlier one', () => {
    expect(formationNumber(3, 1)).to.be.greaterThan(formationNumber(2, 999_999))
  })

  it('give back the highest fencing number that endpoints have seen', () => {
    expect(highestFencing([createEndpoint('w0', '10.0.0.1:1'), ...[formationNumber(2, 7), formationNumber(4, 1), formationNumber(3, 9)].map(createMember)])).to.equal(4)
    expect(highestFencing([])).to.equal(0)
  })

  // Guards against a fencing number that can't rise any more: another writer stored a formation number that is none.
  it('ignore numbers that are not the fleet\'s', () => {
    expect(highestFencing([Number.MAX_SAFE_INTEGER, Infinity, NaN, -5_000_000, formationNumber(2, 1)].map(createMember))).to.equal(2)
  })
})
