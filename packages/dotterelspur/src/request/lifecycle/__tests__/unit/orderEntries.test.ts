import { expect } from 'chai'
import { NodeState, orderEntries, type NodeMember } from '../../../../index.js'

function member (node: string, region: string, failureDomain: string, state = NodeState.Alive): NodeMember {
  return { node, incarnation: 1, region, failureDomain, meshAddress: '', entryAddress: `http://${node}`, adminAddress: '', state }
}

const MEMBERS = [
  member('a1', 'perth', 'fd-a'), member('a2', 'perth', 'fd-a'), member('a3', 'perth', 'fd-a', NodeState.Suspect),
  member('b1', 'perth', 'fd-b'), member('b2', 'perth', 'fd-b', NodeState.Draining),
  member('c1', 'atlanta', 'fd-c'), member('c2', 'atlanta', 'fd-c', NodeState.Dead), member('c3', 'atlanta', 'fd-c', NodeState.Left)
]

function order (failureDomain: string | null, spreadKey = 'caller-1', members = MEMBERS): string[] {
  return orderEntries(members, { failureDomain, region: 'perth', spreadKey }).map((entry) => entry.node)
}

describe('orderEntries', () => {
  it('puts the nearest nodes first, suspected ones last within their distance, and omits nodes that take no new requests', () => {
    const nodes = order('fd-a')
    expect(nodes.slice(0, 2).sort()).to.deep.equal(['a1', 'a2'])
    expect(nodes.slice(2)).to.deep.equal(['a3', 'b1', 'c1'])
  })

  it('uses the region when no failure domain is given', () => {
    expect(order(null).at(-1)).to.equal('c1')
  })

  it('spreads callers evenly and moves only the callers of a removed node', () => {
    const callers = Array.from({ length: 1_000 }, (_, index) => `caller-${index}`)
    const eight = Array.from({ length: 8 }, (_, index) => member(`n${index}`, 'perth', 'fd-a'))
    const counts = new Map<string, number>()
    for (const caller of callers) {
      const [first, second] = order('fd-a', caller, eight)
      counts.set(first!, (counts.get(first!) ?? 0) + 1)
      expect(order('fd-a', caller, eight.filter((one) => one.node !== 'n3'))[0]).to.equal(first === 'n3' ? second : first)
    }
    expect([...counts.values()].every((count) => count > 90 && count < 165), JSON.stringify([...counts])).to.equal(true)
  })
})
