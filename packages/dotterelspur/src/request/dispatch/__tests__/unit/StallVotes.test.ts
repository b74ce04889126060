import { expect } from 'chai'
import { StallVotes } from '../../StallVotes.js'

describe('StallVotes', () => {
  it('does not report a stall for the pause of one stream among many', () => {
    // Guards against healthy groups that are avoided again and again: one node's only stream at a group pauses while a
    // long prompt is prefilled, and a single vote was enough. 8 of 9 healthy groups were affected, and up to half of the
    // requests were sent twice.
    const votes = new StallVotes()
    expect(votes.note('g1', 'n1', 10, 0)).to.equal(false)
    expect(votes.note('g1', 'n1', 10, 10)).to.equal(false)
  })

  it('reports a stall when the nodes that have streams there agree', () => {
    const votes = new StallVotes()
    const results = ['n1', 'n2', 'n3', 'n4'].map((node, index) => votes.note('g1', node, 10, 10 * index))
    expect(results).to.deep.equal([false, false, false, true])
  })

  it('accepts one vote where no other node has requests there', () => {
    expect(new StallVotes().note('g1', 'n1', 0, 0)).to.equal(true)
    expect(new StallVotes().note('g1', 'n1', 1, 0)).to.equal(true)
  })

  it('drops votes that are no longer of the same moment', () => {
    const votes = new StallVotes()
    votes.note('g1', 'n1', 4, 0)
    expect(votes.note('g1', 'n2', 4, 2_000)).to.equal(false)
  })
})
