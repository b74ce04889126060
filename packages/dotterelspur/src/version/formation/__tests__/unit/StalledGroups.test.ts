import { expect } from 'chai'
import { MemberState, type EndpointRecord } from '../../Endpoint.js'
import { stalledHeads } from '../../StalledGroups.js'
import { createEndpoint, createGroup, SMALL } from '../fixtures/endpoints.js'

const SIZES = new Map([['small', SMALL.size]])

function findStalled (endpoints: readonly EndpointRecord[], lost: readonly string[] = []): string[] {
  return stalledHeads(endpoints, SIZES, ({ endpoint }) => !lost.includes(endpoint))
}

describe('stalledHeads', () => {
  it('finds an open head whose member does not respond or is no longer listed', () => {
    // Guards against dispatching requests to a group for five seconds after its loss was detected: a member dies, there is
    // no standby to repair the group, and its head stays listed as open until the group gives up by itself.
    const [head, member] = createGroup('g', SMALL, MemberState.Open)
    expect(findStalled([head!, member!])).to.deep.equal([])
    expect(findStalled([head!, member!], [member!.endpoint])).to.deep.equal(['g-0'])
    expect(findStalled([head!])).to.deep.equal(['g-0'])
  })

  it('ignores a member that is leaving, because it stays until its head has no work', () => {
    const [head, member] = createGroup('g', SMALL, MemberState.Open)
    expect(findStalled([head!, { ...member!, leaving: true }])).to.deep.equal([])
  })

  it('skips groups that accept no requests, and groups of an undeclared model', () => {
    const closing = createGroup('c', SMALL, MemberState.Closing)
    const unknown = createGroup('u', { ...SMALL, model: 'unknown' }, MemberState.Open)
    expect(findStalled([closing[0]!, unknown[0]!, createEndpoint('free')])).to.deep.equal([])
  })
})
