import { expect } from 'chai'
import { StallVotes } from '../../StallVotes.js'

describe('StallVotes', () => {
  it('does not condemn a group for the pause of one stream among many', () => {
    // Symptom: 8 of 9 sound groups are passed over again and again, and up to half of the requests are sent twice.
    // Sequence: one node's only stream at a group pauses while a long prompt is read. Cause: one node's word was enough.
    const votes = new StallVotes()
    expect(votes.note('g1', 'n1', 10, 0)).to.equal(false)
    expect(votes.note('g1', 'n1', 10, 10)).to.equal(false)
  })

  it('condemns it when those who have streams there agree', () => {
    const votes = new StallVotes()
    const words = ['n1', 'n2', 'n3', 'n4'].map((node, index) => votes.note('g1', node, 10, 10 * index))
    expect(words).to.deep.equal([false, false, false, true])
  })

  it('takes one word where nobody else has requests there', () => {
    expect(new StallVotes().note('g1', 'n1', 0, 0)).to.equal(true)
    expect(new StallVotes().note('g1', 'n1', 1, 0)).to.equal(true)
  })

  it('forgets words that are no longer of the same moment', () => {
    const votes = new StallVotes()
    votes.note('g1', 'n1', 4, 0)
    expect(votes.note('g1', 'n2', 4, 2_000)).to.equal(false)
  })
})
