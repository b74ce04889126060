import { expect } from 'chai'
import { ExplainCauseKind, RolloutPhase, explainGroup, explainIntent, explainVm } from '../../index.js'
import type { Decision, ExplainInput, GroupPresence } from '../../index.js'
import { SimulatedFabricDomain, createIntent } from './planningFixture.js'

interface RecordedRun {
  readonly domain: SimulatedFabricDomain
  readonly decisions: Decision[]
}

function recordRun (vms: number, replicas = 1): RecordedRun {
  const recorded: RecordedRun = { domain: new SimulatedFabricDomain(vms, [createIntent({ replicas })]), decisions: [] }
  run(recorded, 8)
  return recorded
}

function run ({ domain, decisions }: RecordedRun, ticks: number): void {
  for (let count = 0; count < ticks; count++) decisions.push(...domain.tick().decisions)
}

function createInput ({ domain, decisions }: RecordedRun, change: Partial<ExplainInput> = {}): ExplainInput {
  const { nowMs, wallMs, vms } = domain.input()
  const presence = domain.assignment!.groups.map((group): GroupPresence => ({
    group: group.group,
    fabricDomain: 'perth-1-a',
    failureDomain: 'perth-1',
    formation: group.formation,
    complete: group.members.every((member) => {
      const vm = domain.vms.get(member.vm)!
      return vm.present && vm.incarnation === member.incarnation
    }),
    leaving: false,
    ageMs: 300,
    load: { running: 0, waiting: 0, capacity: 8, cacheUsed: 0, ageMs: 0 }
  }))
  return {
    nowMs,
    wallMs,
    assignments: [domain.assignment!],
    vms,
    listedTwice: [],
    presence,
    evidenceTtlMs: 2_500,
    decisions,
    drained: [],
    wanted: [{ team: 'tradeline', model: 'logbook', replicas: domain.intents[0]!.replicas, vmsPerReplica: 2 }],
    unmet: [],
    storeContactAgeMs: 0,
    storeOutageMs: 5_000,
    ...change
  }
}

describe('explainGroup', () => {
  it('states that a group serves', () => {
    const recorded = recordRun(2)
    const group = recorded.domain.assignment!.groups[0]!.group
    expect(explainGroup(createInput(recorded), group)).to.deep.include({ satisfied: true, causes: [] })
  })

  it('names the absent member with its formation and the duration of its absence, and the decision to wait', () => {
    const recorded = recordRun(2)
    const { group, formation } = recorded.domain.assignment!.groups[0]!
    recorded.domain.kill('vm-01')
    run(recorded, 12)
    const explanation = explainGroup(createInput(recorded), group)!
    expect(explanation.causes[0]).to.deep.include({ kind: ExplainCauseKind.MemberAbsent, subject: 'vm-01' })
    expect(explanation.summary).to.contain(`VM vm-01 of formation ${formation} has been absent for 12 s`)
    expect(explanation.causes.map((cause) => cause.kind)).to.include.members([ExplainCauseKind.GroupBroken, ExplainCauseKind.RepairWaiting])
  })

  const cases = [
    { name: 'a restart', injectFault: (domain: SimulatedFabricDomain) => domain.restart('vm-01'), change: {}, kind: ExplainCauseKind.MemberRestarted },
    { name: 'expired evidence', injectFault: () => {}, change: { evidenceTtlMs: 100 }, kind: ExplainCauseKind.EvidenceExpired },
    { name: 'missing evidence', injectFault: () => {}, change: { presence: [] }, kind: ExplainCauseKind.EvidenceMissing },
    { name: 'a store outage along with another cause', injectFault: (domain: SimulatedFabricDomain) => domain.kill('vm-01'), change: { storeContactAgeMs: 60_000 }, kind: ExplainCauseKind.StoreUnavailable }
  ]
  for (const { name, injectFault, change, kind } of cases) {
    it(`names ${name}`, () => {
      const recorded = recordRun(2)
      injectFault(recorded.domain)
      const explanation = explainGroup(createInput(recorded, change), recorded.domain.assignment!.groups[0]!.group)!
      expect(explanation.satisfied).to.equal(false)
      expect(explanation.causes.map((cause) => cause.kind)).to.include(kind)
    })
  }

  it('returns undefined for a group that no assignment contains', () => {
    expect(explainGroup(createInput(recordRun(2)), 'other')).to.equal(undefined)
  })
})

describe('explainVm', () => {
  it('names the group of an assigned VM', () => {
    const explanation = explainVm(createInput(recordRun(2)), 'vm-00')!
    expect(explanation.satisfied).to.equal(true)
    expect(explanation.causes[0]!.kind).to.equal(ExplainCauseKind.VmAssigned)
  })

  it('states that a VM is a standby', () => {
    expect(explainVm(createInput(recordRun(3)), 'vm-02')!.causes[0]!.kind).to.equal(ExplainCauseKind.VmStandby)
  })

  it('states that a fabric domain has too few idle VMs for a group', () => {
    const recorded = recordRun(2, 2)
    recorded.domain.addVm('vm-02')
    const explanation = explainVm(createInput(recorded), 'vm-02')!
    expect(explanation.causes[0]).to.deep.include({ kind: ExplainCauseKind.VmTooFewBeside, subject: 'perth-1-a' })
  })
})

describe('explainIntent', () => {
  it('counts the serving replicas and reports that a competing team has the VMs', () => {
    const recorded = recordRun(2, 2)
    const unmet = [{ team: 'tradeline', model: 'logbook', wanted: 2, allocated: 1, lostTo: [{ team: 'piedmont', model: 'drafting' }], eligibleFabricDomains: 1, reason: 'piedmont/drafting goes before it' }]
    const explanation = explainIntent(createInput(recorded, { unmet }), 'tradeline', 'logbook')!
    expect(explanation.summary).to.contain('1 of 2 replicas')
    expect(explanation.causes[0]!.kind).to.equal(ExplainCauseKind.CompetingTeam)
  })

  it('names a halted rollout with its cause', () => {
    const recorded = recordRun(2)
    const halted = { team: 'tradeline', model: 'logbook', target: { version: 'v2', adapters: [] }, previous: null, phase: RolloutPhase.Halted, cause: 'g1 fails 9.0%', sinceWallMs: 1 }
    const assignments = [{ ...recorded.domain.assignment!, rollouts: [halted] }]
    const explanation = explainIntent(createInput(recorded, { assignments }), 'tradeline', 'logbook')!
    expect(explanation.causes[0]).to.deep.include({ kind: ExplainCauseKind.RolloutHalted, message: 'The change to v2 was halted: g1 fails 9.0%.' })
  })
})
