import { expect } from 'chai'
import fc from 'fast-check'
import { GroupState, countStepIns, deriveStepIn, groupAtStepIn, readStepIn } from '../../index.js'
import type { AssignedGroup, AssignedMember } from '../../index.js'
import { SimulatedFabricDomain, createIntent } from './planningFixture.js'

const SEED = 31_415

function createMembers (prefix: string, count: number): readonly AssignedMember[] {
  return Array.from({ length: count }, (_, index) => ({ vm: `${prefix}-${index}`, incarnation: 1, address: `http://${prefix}-${index}` }))
}

function createGroup (members: number, standbys: number): AssignedGroup {
  return {
    group: 'fd.g7',
    formation: 7,
    state: GroupState.Serving,
    team: 'tradeline',
    model: 'logbook',
    version: 'v1',
    adapters: [],
    members: createMembers('member', members),
    standbys: createMembers('standby', standbys),
    stepInBase: 100,
    cause: '',
    sinceWallMs: 0
  }
}

describe('deriveStepIn', () => {
  const cases = [
    { name: 'one lost member', members: 4, standbys: 1, lost: ['member-2'], taken: ['member-0', 'member-1', 'standby-0', 'member-3'] },
    { name: 'two lost members, two standbys', members: 4, standbys: 2, lost: ['member-3', 'member-0'], taken: ['standby-0', 'member-1', 'member-2', 'standby-1'] },
    { name: 'more lost members than standbys', members: 4, standbys: 1, lost: ['member-0', 'member-1'], taken: null },
    { name: 'more lost members than have reserved formations', members: 8, standbys: 3, lost: ['member-0', 'member-1', 'member-2'], taken: null },
    { name: 'no member would remain', members: 1, standbys: 1, lost: ['member-0'], taken: null },
    { name: 'nothing lost', members: 4, standbys: 1, lost: [], taken: null },
    { name: 'a VM that is not a member', members: 4, standbys: 1, lost: ['other'], taken: null }
  ]
  for (const { name, members, standbys, lost, taken } of cases) {
    it(name, () => {
      const derived = deriveStepIn(createGroup(members, standbys), lost)
      expect(derived?.members.map((member) => member.vm) ?? null).to.deep.equal(taken)
    })
  }

  it(`gives each set of lost ranks its own number, from which the same members are derived (seed ${SEED})`, () => {
    fc.assert(fc.property(fc.integer({ min: 2, max: 16 }), fc.integer({ min: 1, max: 3 }), (members, standbys) => {
      const group = createGroup(members, standbys)
      const numbers = countStepIns(members, standbys)
      const seen = new Set<string>()
      for (let formation = 100; formation < 100 + numbers; formation++) {
        const read = readStepIn(group, formation)!
        const lost = read.lostRanks.map((rank) => group.members[rank]!.vm)
        expect(deriveStepIn(group, lost)).to.deep.equal(read)
        seen.add(lost.join())
      }
      expect(seen.size).to.equal(numbers)
      expect(readStepIn(group, 100 + numbers)).to.equal(null)
      expect(readStepIn(group, 99)).to.equal(null)
    }), { seed: SEED })
  })

  // Guards against two complete formations of one group serving at once: the store is unavailable, and two controllers
  // consider different members dead and order the standby to step in. Two formations without a common VM can both be complete.
  it('has a common VM in any two formations of a group, so that only one can be complete', () => {
    for (const [members, standbys] of [[2, 1], [2, 3], [3, 2], [4, 2], [16, 3]] as const) {
      const group = createGroup(members, standbys)
      const formations = [group.members, ...Array.from({ length: countStepIns(members, standbys) }, (_, index) => readStepIn(group, 100 + index)!.members)]
      for (const left of formations) {
        for (const right of formations) {
          expect(left.some((member) => right.some((other) => other.vm === member.vm))).to.equal(true)
        }
      }
    }
  })
})

describe('reserved formations', () => {
  // Guards against breaking and reforming a serving group after a store outage: during the outage a member dies and its standby
  // steps in, so that the group serves, but the planner recognised only the formation written before the outage.
  it('are adopted unchanged when the store is back', () => {
    const domain = new SimulatedFabricDomain(5, [createIntent({ vmsPerReplica: 4, standbys: 1 })])
    domain.tickUntilStable()
    const before = domain.assignment!.groups[0]!
    const lost = before.members[1]!.vm
    const derived = deriveStepIn(before, [lost])!
    domain.kill(lost)
    for (const member of derived.members) {
      const vm = domain.vms.get(member.vm)!
      vm.status = { ...domain.vms.get(before.members[0]!.vm)!.status, vm: member.vm, formation: derived.formation }
    }
    domain.nowMs += 3_600_000
    const plan = domain.tick()
    const after = domain.assignment!.groups[0]!
    expect(plan.decisions.map((decision) => decision.kind)).to.deep.equal(['step-in'])
    expect(after.state).to.equal(GroupState.Serving)
    expect(after).to.deep.include({ formation: derived.formation, members: groupAtStepIn(before, derived).members })
  })

  it('have numbers that no later formation reuses', () => {
    const domain = new SimulatedFabricDomain(6, [createIntent({ vmsPerReplica: 4, standbys: 2 })])
    domain.tickUntilStable()
    const group = domain.assignment!.groups[0]!
    const last = group.stepInBase! + countStepIns(4, 2) - 1
    expect(domain.assignment!.highestFormation).to.be.at.least(last)
    domain.restart(group.members[0]!.vm)
    domain.tickUntilStable()
    expect(domain.assignment!.groups[0]!.formation).to.be.greaterThan(last)
  })
})
