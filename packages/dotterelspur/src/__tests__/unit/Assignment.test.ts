import { expect } from 'chai'
import {
  AssignmentFault, checkAssignment, checkAssignmentChange, deriveOrders, EngineState, GroupState, assessGroup, MemberNotReadyReason, NO_OBSERVATION, OrderKind, type AssignedGroup,
  type AssignmentObject, type VmObservation, type VmStatus
} from '../../index.js'

const TTL_MS = 2_500
const NOW_MS = 100_000

function makeMember (vm: string, incarnation = 1) {
  return { vm, incarnation, address: `http://${vm}` }
}

function makeGroup (fields: Partial<AssignedGroup> = {}): AssignedGroup {
  return {
    group: 'g1',
    formation: 3,
    state: GroupState.Serving,
    team: 't',
    model: 'm',
    version: '1',
    adapters: [],
    members: [makeMember('a'), makeMember('b')],
    standbys: [],
    cause: '',
    sinceWallMs: 0,
    ...fields
  }
}

function makeAssignment (...groups: AssignedGroup[]): AssignmentObject {
  return { fabricDomain: 'fd-1.a', failureDomain: 'fd-1', region: 'r1', fencing: 2, groups, writeToken: '' }
}

function makeStatus (vm: string, fields: Partial<VmStatus> = {}): VmStatus {
  return {
    vm,
    incarnation: 1,
    state: EngineState.Ready,
    group: 'g1',
    formation: 3,
    model: 'm',
    version: '1',
    adapters: [],
    fencing: 0,
    load: { running: 0, waiting: 0, capacity: 1, cacheUsed: 0, ageMs: 0 },
    ...fields
  }
}

function makeObservation (status: VmStatus, ageMs = 100): VmObservation {
  return { evidence: { status, askedAtMs: NOW_MS - ageMs }, absentSinceMs: null }
}

describe('assessGroup', () => {
  const cases: ReadonlyArray<{ title: string, observation: VmObservation, reason: MemberNotReadyReason | null, ageMs?: number, leaving?: boolean }> = [
    { title: 'present', observation: makeObservation(makeStatus('b'), 400), reason: null, ageMs: 400 },
    { title: 'leaving', observation: makeObservation(makeStatus('b', { state: EngineState.Leaving })), reason: null, leaving: true },
    { title: 'never observed', observation: NO_OBSERVATION, reason: MemberNotReadyReason.Silent },
    { title: 'known only from evidence that has just expired', observation: makeObservation(makeStatus('b'), TTL_MS), reason: MemberNotReadyReason.Silent },
    { title: 'refusing connections after its last response', observation: { ...makeObservation(makeStatus('b')), absentSinceMs: NOW_MS }, reason: MemberNotReadyReason.Refused },
    { title: 'another incarnation', observation: makeObservation(makeStatus('b', { incarnation: 2 })), reason: MemberNotReadyReason.OtherIncarnation },
    { title: 'another VM at its address', observation: makeObservation(makeStatus('c')), reason: MemberNotReadyReason.OtherIncarnation },
    { title: 'in another group', observation: makeObservation(makeStatus('b', { group: 'g2' })), reason: MemberNotReadyReason.OtherGroup },
    { title: 'in no group', observation: makeObservation(makeStatus('b', { group: null, formation: 0 })), reason: MemberNotReadyReason.OtherGroup },
    { title: 'at an older formation', observation: makeObservation(makeStatus('b', { formation: 2 })), reason: MemberNotReadyReason.OtherFormation },
    { title: 'at a newer formation', observation: makeObservation(makeStatus('b', { formation: 4 })), reason: MemberNotReadyReason.OtherFormation },
    { title: 'loading', observation: makeObservation(makeStatus('b', { state: EngineState.Loading })), reason: MemberNotReadyReason.Loading },
    { title: 'failed', observation: makeObservation(makeStatus('b', { state: EngineState.Failed })), reason: MemberNotReadyReason.Failed }
  ]
  for (const { title, observation, reason, ageMs, leaving } of cases) {
    it(`a group with a member that is ${title} is ${reason === null ? 'complete' : 'not complete'}`, () => {
      const observations = new Map([['a', makeObservation(makeStatus('a'), 50)], ['b', observation]])
      const { presence, notReady: found } = assessGroup(makeAssignment(), makeGroup(), observations, new Set(), NOW_MS, TTL_MS)
      expect(presence.complete).to.equal(reason === null)
      expect(found?.reason ?? null).to.equal(reason)
      expect(presence.leaving).to.equal(leaving ?? false)
      if (ageMs !== undefined) expect(presence.ageMs).to.equal(ageMs)
    })
  }

  it('a group without members is not complete', () => {
    expect(assessGroup(makeAssignment(), makeGroup({ members: [] }), new Map(), new Set(), NOW_MS, TTL_MS).presence.complete).to.equal(false)
  })
})

describe('deriveOrders', () => {
  const idle = { group: null, formation: 0, state: EngineState.Idle }
  const cases: ReadonlyArray<{ title: string, group?: Partial<AssignedGroup>, status: Partial<VmStatus>, orders: readonly OrderKind[] }> = [
    { title: 'in its place', status: {}, orders: [] },
    { title: 'loading in its place', status: { state: EngineState.Loading }, orders: [] },
    { title: 'idle', status: idle, orders: [OrderKind.Form] },
    { title: 'at an older formation', status: { formation: 2 }, orders: [OrderKind.Form] },
    { title: 'in another group', status: { group: 'g9' }, orders: [OrderKind.Form] },
    { title: 'failed in its place', status: { state: EngineState.Failed }, orders: [OrderKind.Form] },
    { title: 'restarted and idle', status: { ...idle, incarnation: 2 }, orders: [] },
    { title: 'restarted and reports its former place', status: { incarnation: 2 }, orders: [OrderKind.Release] },
    { title: 'ready in a draining group', group: { state: GroupState.Draining }, status: {}, orders: [OrderKind.Drain] },
    { title: 'drained already', group: { state: GroupState.Draining }, status: { state: EngineState.Leaving }, orders: [] },
    { title: 'in a broken group', group: { state: GroupState.Broken }, status: {}, orders: [] },
    { title: 'without a place', group: { members: [makeMember('a')] }, status: {}, orders: [OrderKind.Release] },
    { title: 'an empty standby', group: { members: [makeMember('a')], standbys: [makeMember('b')] }, status: { ...idle, model: null, version: null }, orders: [OrderKind.Preload] },
    { title: 'a member without the next version', group: { preload: { version: '2', adapters: [] } }, status: {}, orders: [OrderKind.Preload] },
    { title: 'a member that holds the next version', group: { preload: { version: '2', adapters: [] } }, status: { loaded: [{ model: 'm', version: '2', adapters: [] }] }, orders: [] },
    { title: 'a standby without the adapters', group: { adapters: ['x'], members: [makeMember('a')], standbys: [makeMember('b')] }, status: idle, orders: [OrderKind.Preload] },
    { title: 'a loaded standby', group: { members: [makeMember('a')], standbys: [makeMember('b')] }, status: idle, orders: [] }
  ]
  for (const { title, group, status, orders } of cases) {
    it(`a VM that is ${title} gets ${orders.length === 0 ? 'no order' : orders.join()}`, () => {
      const seen = new Map([['b', { address: 'http://b', status: makeStatus('b', status) }]])
      const due = deriveOrders(makeAssignment(makeGroup(group)), seen)
      expect(due.map(({ order }) => order.kind)).to.deep.equal(orders)
    })
  }
})

describe('checkAssignmentChange', () => {
  const before = makeAssignment(makeGroup())
  const cases: ReadonlyArray<{ title: string, after: AssignmentObject, faults: readonly AssignmentFault[] }> = [
    { title: 'a new formation with another member', after: makeAssignment(makeGroup({ formation: 4, members: [makeMember('a'), makeMember('c')] })), faults: [] },
    { title: 'another state', after: makeAssignment(makeGroup({ state: GroupState.Broken })), faults: [] },
    { title: 'another member at the same formation', after: makeAssignment(makeGroup({ members: [makeMember('a'), makeMember('c')] })), faults: [AssignmentFault.FormationUnchanged] },
    { title: 'another incarnation at the same formation', after: makeAssignment(makeGroup({ members: [makeMember('a'), makeMember('b', 2)] })), faults: [AssignmentFault.FormationUnchanged] },
    { title: 'a lower formation', after: makeAssignment(makeGroup({ formation: 2 })), faults: [AssignmentFault.FormationFell] },
    { title: 'a lower fencing number', after: { ...before, fencing: 1 }, faults: [AssignmentFault.FencingFell] },
    { title: 'a VM in two groups', after: makeAssignment(makeGroup(), makeGroup({ group: 'g2' })), faults: [AssignmentFault.VmTwice, AssignmentFault.VmTwice] },
    { title: 'a VM as member and standby', after: makeAssignment(makeGroup({ standbys: [makeMember('a')] })), faults: [AssignmentFault.VmTwice] }
  ]
  for (const { title, after, faults } of cases) {
    it(`${faults.length === 0 ? 'allows' : 'refuses'} ${title}`, () => {
      expect(checkAssignmentChange(before, after).map((problem) => problem.fault)).to.deep.equal(faults)
    })
  }

  it('finds a group that occurs twice', () => {
    const twice = makeAssignment(makeGroup({ members: [] }), makeGroup({ members: [] }))
    expect(checkAssignment(twice).map((problem) => problem.fault)).to.deep.equal([AssignmentFault.GroupTwice])
  })
})
