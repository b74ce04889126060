import { expect } from 'chai'
import fc from 'fast-check'
import { GroupState, emptyPlanningMemory, planFabricDomain } from '../../index.js'
import type { AssignedGroup, FabricDomainPlan } from '../../index.js'
import { SimulatedFabricDomain, createIntent } from './planningFixture.js'

const SEED = 20_261_202
const VM_COUNT = 14
const LARGE = createIntent({ team: 'piedmont', model: 'drafting', vmsPerReplica: 4, replicas: 2, priority: 60, standbys: 1, weights: { groupDowntime: 1, strandedAccelerators: 4 } })
const SMALL = createIntent({ replicas: 2 })

enum EventKind {
  Kill = 'kill',
  ComeBack = 'come-back',
  Restart = 'restart',
  Leave = 'leave',
  Straggle = 'straggle',
  Unlist = 'unlist',
  ListAgain = 'list-again',
  ForgetMemory = 'forget-memory',
  Dark = 'dark',
  Want = 'want',
  Stall = 'stall',
  Rollout = 'rollout'
}

interface ScheduledEvent {
  readonly kind: EventKind
  readonly vm: number
  readonly amount: number
  readonly ticks: number
}

type EventHandler = (domain: SimulatedFabricDomain, vm: string, amount: number) => void

const HANDLERS: Readonly<Record<EventKind, EventHandler>> = {
  [EventKind.Kill]: (domain, vm) => domain.kill(vm),
  [EventKind.ComeBack]: (domain, vm) => domain.reconnect(vm),
  [EventKind.Restart]: (domain, vm) => domain.restart(vm),
  [EventKind.Leave]: (domain, vm) => { domain.vms.get(vm)!.leaving = true },
  [EventKind.Straggle]: (domain, vm, amount) => { domain.vms.get(vm)!.straggling = amount > 1 },
  [EventKind.Unlist]: (domain, vm) => { domain.vms.get(vm)!.listed = false },
  [EventKind.ListAgain]: (domain, vm) => { domain.vms.get(vm)!.listed = true },
  [EventKind.ForgetMemory]: (domain) => { domain.memory = emptyPlanningMemory },
  [EventKind.Dark]: (domain) => { for (const vm of domain.vms.keys()) domain.kill(vm) },
  [EventKind.Want]: (domain, _vm, amount) => { domain.intents = [{ ...LARGE, replicas: amount % 4 }, SMALL] },
  [EventKind.Stall]: (domain, _vm, amount) => { domain.followsAssignment = amount > 0 },
  [EventKind.Rollout]: (domain, _vm, amount) => {
    const changing = domain.assignment?.groups.map((group) => group.group).slice(0, 1) ?? []
    domain.intents = [{ ...LARGE, revision: { version: `v${amount}`, adapters: [] }, changing }, SMALL]
  }
}

const event = fc.record({
  kind: fc.constantFrom(...Object.values(EventKind)),
  vm: fc.nat(VM_COUNT - 1),
  amount: fc.nat(4),
  ticks: fc.constantFrom(0, 1, 2, 5, 40)
})

function checkTick (domain: SimulatedFabricDomain, before: readonly AssignedGroup[], highestBefore: number): void {
  const groups = domain.assignment!.groups
  const places = groups.flatMap((group) => [...group.members, ...group.standbys].map((place) => place.vm))
  expect(new Set(places).size, 'a VM is assigned twice').to.equal(places.length)
  const formed = groups.filter((group) => group.state === GroupState.Forming && before.every((other) => other.formation !== group.formation))
  expect(formed.length, 'too many formations in one tick').to.be.at.most(domain.settings.formationsPerTick)
  for (const group of groups) {
    expect(group.members.length, 'wrong group size').to.equal(group.model === 'drafting' ? 4 : 2)
    const known = before.find((other) => other.group === group.group)
    if (known === undefined) expect(group.formation, 'formation number reused').to.be.greaterThan(highestBefore)
    else expect(group.formation, 'formation number decreased').to.be.at.least(known.formation)
    if (group.state === GroupState.Serving) checkServing(domain, group)
  }
}

function checkServing (domain: SimulatedFabricDomain, group: AssignedGroup): void {
  for (const member of group.members) {
    const vm = domain.vms.get(member.vm)!
    const restarted = vm.present && vm.listed && vm.incarnation > member.incarnation
    expect(restarted, `${group.group} serves with a member that restarted`).to.equal(false)
  }
}

function run (events: readonly ScheduledEvent[]): SimulatedFabricDomain {
  const domain = new SimulatedFabricDomain(VM_COUNT, [LARGE, SMALL])
  const tick = (): FabricDomainPlan => {
    const before = domain.assignment?.groups ?? []
    const highest = domain.assignment?.highestFormation ?? 0
    const plan = domain.tick()
    checkTick(domain, before, highest)
    return plan
  }
  tick()
  for (const { kind, vm, amount, ticks } of events) {
    HANDLERS[kind](domain, `vm-${String(vm).padStart(2, '0')}`, amount)
    for (let count = 0; count < ticks; count++) tick()
  }
  return domain
}

function endFaults (domain: SimulatedFabricDomain): void {
  domain.followsAssignment = true
  domain.intents = [{ ...LARGE, revision: domain.intents[0]!.revision }, SMALL]
  for (const vm of domain.vms.values()) {
    vm.listed = true
    vm.leaving = false
    vm.straggling = false
    if (!vm.present) domain.reconnect(vm.vm)
  }
  domain.applyAssignment()
}

describe(`planFabricDomain over random schedules (seed ${SEED})`, function () {
  this.timeout(60_000)

  it('assigns no VM twice, keeps group sizes exact, only increases formation numbers, and marks no group with a restarted member as serving', () => {
    fc.assert(fc.property(fc.array(event, { maxLength: 30 }), (events) => { run(events) }), { seed: SEED, numRuns: 300 })
  })

  it('converges to all wanted groups serving once the faults end', () => {
    fc.assert(fc.property(fc.array(event, { maxLength: 20 }), (events) => {
      const domain = run(events)
      endFaults(domain)
      for (let count = 0; count < 30; count++) domain.tick(60_000)
      domain.tickUntilStable(400)
      const serving = domain.assignment!.groups.filter((group) => group.state === GroupState.Serving)
      expect(serving.filter((group) => group.model === 'drafting').length).to.equal(2)
      expect(serving.filter((group) => group.model === 'logbook').length).to.equal(2)
    }), { seed: SEED, numRuns: 200 })
  })

  it('returns the same plan for the same input and does not modify the input', () => {
    fc.assert(fc.property(fc.array(event, { maxLength: 15 }), (events) => {
      const domain = run(events)
      const input = domain.input()
      const copy = structuredClone(input)
      expect(planFabricDomain(input)).to.deep.equal(planFabricDomain(copy))
      expect(input).to.deep.equal(copy)
    }), { seed: SEED, numRuns: 100 })
  })
})
