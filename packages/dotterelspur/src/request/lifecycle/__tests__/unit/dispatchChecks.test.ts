import { expect } from 'chai'
import { GroupState, NotDispatchable, checkDispatch, type AssignedGroup, type AssignmentObject, type GroupPresence } from '../../../../index.js'

const EVIDENCE_TTL_MS = 2_500

function assignedGroup (changes: Partial<AssignedGroup> = {}): AssignedGroup {
  const members = [{ vm: 'vm-1', incarnation: 1, address: 'http://vm-1' }, { vm: 'vm-2', incarnation: 1, address: 'http://vm-2' }]
  return { group: 'g1', formation: 3, state: GroupState.Serving, team: 'tradeline', model: 'summary', version: '1', adapters: [], members, standbys: [], cause: '', sinceWallMs: 0, ...changes }
}

function presenceOf (changes: Partial<GroupPresence> = {}): GroupPresence {
  const load = { running: 0, waiting: 0, capacity: 8, cacheUsed: 0, ageMs: 0 }
  return { group: 'g1', fabricDomain: 'fabric-1', failureDomain: 'fd-1', formation: 3, complete: true, leaving: false, ageMs: 10, load, ...changes }
}

interface Row {
  readonly fault: string
  readonly assigned?: Partial<AssignedGroup>
  readonly presence?: Partial<GroupPresence> | null
  readonly drained?: readonly string[]
  readonly obstacle: NotDispatchable | null
}

const rows: readonly Row[] = [
  { fault: 'none', obstacle: null },
  { fault: 'the group has just been formed', assigned: { state: GroupState.Forming }, obstacle: null },
  { fault: 'the group has lost a member', assigned: { state: GroupState.Broken }, obstacle: NotDispatchable.WrongState },
  { fault: 'the group is draining', assigned: { state: GroupState.Draining }, obstacle: NotDispatchable.WrongState },
  { fault: 'the group has no members', assigned: { members: [] }, obstacle: NotDispatchable.NoMembers },
  { fault: 'there is no evidence of the group', presence: null, obstacle: NotDispatchable.NoEvidence },
  { fault: 'the evidence is of the previous formation', presence: { formation: 2 }, obstacle: NotDispatchable.OtherFormation },
  { fault: 'the evidence is of a later formation', presence: { formation: 4 }, obstacle: NotDispatchable.OtherFormation },
  { fault: 'a member did not answer', presence: { complete: false }, obstacle: NotDispatchable.Incomplete },
  { fault: 'a member is leaving', presence: { leaving: true }, obstacle: NotDispatchable.Leaving },
  { fault: 'the evidence has just expired', presence: { ageMs: EVIDENCE_TTL_MS }, obstacle: NotDispatchable.Expired },
  { fault: 'the node was paused for a minute', presence: { ageMs: 60_000 }, obstacle: NotDispatchable.Expired },
  { fault: 'the group is drained', drained: ['g1'], obstacle: NotDispatchable.Drained },
  { fault: 'a member is drained', drained: ['vm-2'], obstacle: NotDispatchable.Drained },
  { fault: 'another VM is drained', drained: ['vm-3'], obstacle: null }
]

describe('checkDispatch', () => {
  for (const { fault, assigned, presence, drained = [], obstacle } of rows) {
    it(`${fault} -> ${obstacle ?? 'may be dispatched to'}`, () => {
      const group = assignedGroup(assigned)
      const assignment: AssignmentObject = { fabricDomain: 'fabric-1', failureDomain: 'fd-1', region: 'perth', fencing: 1, writeToken: 'w', groups: [group] }
      const evidence = presence === null ? undefined : presenceOf(presence)
      const check = checkDispatch(assignment, group, evidence, { drained: new Set(drained), evidenceTtlMs: EVIDENCE_TTL_MS })
      expect({ obstacle: check.obstacle, dispatchable: check.view !== null }).to.deep.equal({ obstacle, dispatchable: obstacle === null })
    })
  }
})
