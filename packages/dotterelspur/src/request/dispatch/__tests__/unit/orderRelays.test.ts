import { expect } from 'chai'
import { createRandom } from '../../../../process/Random.js'
import { orderRelays } from '../../orderRelays.js'

const NODES = ['a', 'b', 'c'].flatMap((failureDomain) => Array.from({ length: 10 }, (_unused, index) => ({ node: `${failureDomain}${index}`, failureDomain })))
const QUERY = { ownFailureDomain: 'a', endpointFailureDomain: 'c', failing: new Set(['c0', 'b0', 'a0']) }

describe('orderRelays', () => {
  it('prefers the endpoint\'s failure domain, and takes this node\'s own and failing nodes last', () => {
    const domains = orderRelays(NODES, QUERY, createRandom(1)).map(({ node, failureDomain }) => QUERY.failing.has(node) ? 'failing' : failureDomain)
    expect(domains.map((domain, index) => domain === domains[index - 1] ? '' : domain).join('')).to.equal('cbafailing')
  })

  it('spreads the connections of a node that is cut off over the relays', () => {
    const random = createRandom(2)
    const first = Array.from({ length: 900 }, () => orderRelays(NODES, QUERY, random)[0]!.node)
    const counts = new Map<string, number>()
    for (const node of first) counts.set(node, (counts.get(node) ?? 0) + 1)
    expect(counts.size).to.equal(9)
    expect(Math.max(...counts.values())).to.be.below(2 * 900 / 9)
  })
})
