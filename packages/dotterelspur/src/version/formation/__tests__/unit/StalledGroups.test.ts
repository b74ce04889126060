import { expect } from 'chai'
import { MemberState, type EndpointRecord } from '../../Endpoint.js'
import { stalledHeads } from '../../StalledGroups.js'
import { createEndpoint, createGroup, SMALL } from '../fixtures/endpoints.js'

const SIZES = new Map([['small', SMALL.size]])

function findStalled (endpoints: readonly EndpointRecord[], lost: readonly string[] = []): string[] {
  return stalledHeads(endpoints, SIZES, ({ endpoint }) => !lost.includes(endpoint))
}

describe('stoppedHeads', () => {
  it('finds an open head whose member does not answer, or is listed no longer', () => {
    // Symptom: requests go to a group for five seconds after its loss was known. Sequence: a member dies; no standby is
    // there to mend the group; its head stays listed as open until it gives up by itself. Cause: nobody told.
    const [head, member] = createGroup('g', SMALL, MemberState.Open)
    expect(findStalled([head!, member!])).to.deep.equal([])
    expect(findStalled([head!, member!], [member!.endpoint])).to.deep.equal(['g-0'])
    expect(findStalled([head!])).to.deep.equal(['g-0'])
  })

  it('leaves a member that is leaving alone: it stays while its head has work', () => {
    const [head, member] = createGroup('g', SMALL, MemberState.Open)
    expect(findStalled([head!, { ...member!, leaving: true }])).to.deep.equal([])
  })

  it('says nothing of groups that take no requests, or of a model that is not declared', () => {
    const closing = createGroup('c', SMALL, MemberState.Closing)
    const unknown = createGroup('u', { ...SMALL, model: 'unknown' }, MemberState.Open)
    expect(findStalled([closing[0]!, unknown[0]!, createEndpoint('free')])).to.deep.equal([])
  })
})
