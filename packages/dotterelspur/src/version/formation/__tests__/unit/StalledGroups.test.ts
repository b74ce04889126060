import { expect } from 'chai'
import { MemberState, type EndpointRecord } from '../../Endpoint.js'
import { stalledHeads } from '../../StalledGroups.js'
import { createEndpoint, createGroup, SMALL } from '../fixtures/endpoints.js'

const SIZES = new Map([['small', SMALL.size]])

function findStalled (endpoints: readonly EndpointRecord[], lost: readonly string[] = [], unresponsive: readonly string[] = []): string[] {
  return stalledHeads(endpoints, SIZES, ({ endpoint }) => !lost.includes(endpoint), ({ endpoint }) => unresponsive.includes(endpoint))
}

function createGroups (names: readonly string[], changes: Partial<EndpointRecord> = {}): EndpointRecord[] {
  return names.flatMap((name) => createGroup(name, SMALL, MemberState.Open, changes))
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

  it('finds a head whose group has an unresponsive member', () => {
    const groups = createGroups(['f', 'g', 'h'])
    expect(findStalled(groups, [], ['g-0'])).to.deep.equal(['g-0'])
    expect(findStalled(groups, [], ['g-1'])).to.deep.equal(['g-0'])
  })

  it('finds no paused group while half of its service\'s groups or more are paused', () => {
    // Guards against requests that are moved from one paused group to another: no other group is better, and each of them goes on.
    const groups = createGroups(['f', 'g', 'h', 'i'])
    expect(findStalled(groups, [], ['f-0'])).to.deep.equal(['f-0'])
    expect(findStalled(groups, [], ['f-0', 'g-1'])).to.deep.equal([])
    expect(findStalled(createGroups(['f']), [], ['f-0'])).to.deep.equal([])
  })

  it('finds a group that has lost a member however many are paused', () => {
    const groups = createGroups(['f', 'g', 'h'])
    expect(findStalled(groups, ['h-1'], ['f-0', 'g-0'])).to.deep.equal(['h-0'])
  })

  it('judges each service by its own groups', () => {
    const groups = [...createGroups(['f', 'g']), ...createGroups(['p', 'q', 'r'], { service: 'other' })]
    expect(findStalled(groups, [], ['f-0', 'g-0', 'p-0'])).to.deep.equal(['p-0'])
  })

  it('skips groups that accept no requests, and groups of an undeclared model', () => {
    const closing = createGroup('c', SMALL, MemberState.Closing)
    const unknown = createGroup('u', { ...SMALL, model: 'unknown' }, MemberState.Open)
    expect(findStalled([closing[0]!, unknown[0]!, createEndpoint('free')])).to.deep.equal([])
  })
})
