import { expect } from 'chai'
import fc from 'fast-check'
import { createRandom } from '../../../../process/Random.js'
import { CloseMode, EndpointOrderKind, OrderReply } from '../../EndpointOrder.js'
import { FormationEffectKind, FormationOutcome, formGroup, type AddressedOrder, type FormationPlan } from '../../FormationProcedures.js'
import { FleetRun, memberReports } from '../fixtures/FleetRun.js'
import { FleetFault, FaultyFleetRun } from '../fixtures/FaultyFleetRun.js'
import { WorkerModel } from '../fixtures/WorkerModel.js'

/** Least number of formations that must encounter each fault for the random runs to be meaningful: one per four runs. */
const MIN_ENCOUNTERS = 100

describe('formGroup', () => {
  it('opens a group only after every member has joined and is ready, even if replies are lost', () => {
    fc.assert(fc.property(fc.integer(), (seed) => {
      const run = new FleetRun(createRandom(seed))
      run.run()
      expect(run.workers.violations).to.deep.equal([])
    }), { seed: 20261202, numRuns: 400 })
  })

  it('takes no member from a group with an open head, even under reassigned addresses, stale reports and unreachable heads', () => {
    const encounters = new Map<FleetFault, number>()
    fc.assert(fc.property(fc.integer(), (seed) => {
      const run = new FaultyFleetRun(createRandom(seed))
      run.run()
      for (const fault of Object.values(FleetFault)) encounters.set(fault, (encounters.get(fault) ?? 0) + run.encounters[fault])
      expect(run.workers.violations).to.deep.equal([])
    }), { seed: 20261203, numRuns: 400 })
    console.log(`    formations that met a fault: ${[...encounters].map(([fault, times]) => `${fault} ${times}`).join(', ')}`)
    for (const fault of Object.values(FleetFault)) expect(encounters.get(fault), fault).to.be.at.least(MIN_ENCOUNTERS)
  })

  it('does not reopen a head that has left its formation when delayed orders are carried out', () => {
    // Guards against a member joining another group while its former head is open again: the head has left its formation and
    // joined no other yet, and delayed copies of the join and open orders of that formation bring it back. Then its former
    // member, or the head itself, gets its next join. Only a join with a higher number invalidates delayed orders, and
    // between the leave and that join there is none.
    for (const seed of [1_162, 6_341, 17_950]) {
      const run = new FleetRun(createRandom(seed))
      run.run()
      expect(run.workers.violations, `seed ${seed}`).to.deep.equal([])
    }
  })

  it('takes no member while copies of the orders that formed its group are carried out late', () => {
    // A head left its formation; delayed copies of its join and open orders brought it back before the next join, and then
    // its former member, or the head itself, joined another group while the head was open. The orders of two runs:
    //   leave w3 g7006: done, late join w3 g7006: begun, late open w3 g7006: begun, join w4 g9002 (a member of g7006): begun
    //   leave w1 g3004: done, late join w1 g3004: begun, late open w1 g3004: begun, join w1 g4002: begun
    // The copies repeat the orders that were really sent, so the test fails if joins state no order count, and if a member
    // counts as released once its head has left.
    for (const taken of [['h', 'w2'], ['w2'], ['h']]) {
      const workers = new WorkerModel(['h', 'w2', 'w3'])
      const copies: AddressedOrder[] = []
      perform({ group: 'g3', formation: 3, model: 'small', members: ['h', 'w2'], joinTimeoutMs: 1_000, former: [] }, workers, (addressed) => {
        copies.push(addressed)
        return workers.apply(addressed)
      })
      const members = taken.length === 1 ? [...taken, 'w3'] : taken
      perform({ group: 'g9', formation: 9, model: 'small', members, joinTimeoutMs: 1_000, former: [{ group: 'g3', formation: 3, head: 'h', taken, closeMode: CloseMode.BreakOff }] }, workers, (addressed) => {
        const reply = workers.apply(addressed)
        if (addressed.order.kind !== EndpointOrderKind.Leave) return reply
        for (const copy of copies) {
          workers.apply(copy)
          workers.completeJoins()
        }
        return reply
      })
      expect(workers.violations, taken.join()).to.deep.equal([])
    }
  })

  it('holds on the seeds that fail without the order count or without each member\'s own leave', () => {
    // Without the order count in joins, or if a member counts as released once its head has left, these runs fail like those
    // above. A change of the simulation's random draws makes the seeds meaningless, so the test above covers both cases too.
    for (const seed of [2_137, 2_843, 5_833, 10_064, 15_485, 16_486, 16_859, 17_950]) {
      const run = new FleetRun(createRandom(seed))
      run.run()
      expect(run.workers.violations, `seed ${seed}`).to.deep.equal([])
    }
    for (const seed of [93, 207, 261, 343, 374, 623]) {
      const run = new FaultyFleetRun(createRandom(seed))
      run.run()
      expect(run.workers.violations, `seed ${seed} with faults`).to.deep.equal([])
    }
  })

  it('sends no orders when a member is not in the listed group', () => {
    // Guards against a head joining another group while it is open: during a store outage a group is formed by direct orders,
    // then the store returns with its earlier entries, and by this outdated list the members appear to be free.
    const plan: FormationPlan = { group: 'new', formation: 9, model: 'small', members: ['w1', 'w2'], joinTimeoutMs: 1_000, former: [] }
    const steps = formGroup(plan)
    expect(steps.next().value).to.deep.equal({ kind: FormationEffectKind.ConfirmMembers, plan })
    expect(steps.next(null)).to.deep.equal({ done: true, value: FormationOutcome.NotAsListed })
  })

  it('abandons a plan when a head that must close does not reply', () => {
    // Guards against blocking the members of a broken group for 16 s: the head is dead, and the close order is retried for as
    // long as a running head may take to finish its requests, as if the missing replies meant a slow close.
    const plan: FormationPlan = {
      group: 'new', formation: 9, model: 'small', members: ['w1', 'w2'], joinTimeoutMs: 1_000, former: [{ group: 'old', formation: 3, head: 'dead', taken: ['w1'], closeMode: 'break-off' as never }]
    }
    const steps = formGroup(plan)
    let orders = 0
    steps.next()
    let step = steps.next(new Map())
    while (step.done !== true && orders < 100) {
      orders += 1
      step = steps.next(step.value.kind === FormationEffectKind.SendOrders ? step.value.orders.map(() => OrderReply.Unanswered) : true)
    }
    expect(step.value).to.equal(FormationOutcome.NotReleased)
    expect(orders).to.be.at.most(6)
  })

  it('has the head of a former group leave before any of its members joins another', () => {
    // Guards against a head joining another group while it is open: an open order is delayed, the next lease holder closes
    // the head, the delayed order opens it again, and the join order arrives. Only the head's own leave invalidates the
    // delayed open order. The members leave too, since a delayed join order is then invalid for them.
    const plan: FormationPlan = {
      group: 'new', formation: 9, model: 'small', members: ['h', 'w2'], joinTimeoutMs: 1_000, former: [{ group: 'old', formation: 3, head: 'h', taken: ['h', 'w2'], closeMode: 'break-off' as never }]
    }
    const steps = formGroup(plan)
    const sent: string[] = []
    steps.next()
    let step = steps.next(new Map())
    while (step.done !== true) {
      if (step.value.kind === FormationEffectKind.SendOrders) {
        sent.push(step.value.orders.map(({ endpoint, order }) => `${order.kind} ${endpoint}`).join('+'))
        step = steps.next(step.value.orders.map(({ order }) => order.kind === EndpointOrderKind.Close ? OrderReply.Done : OrderReply.Begun))
      } else step = steps.next(true)
    }
    expect(sent).to.deep.equal(['close h', 'leave h+leave w2', 'join h+join w2', 'open h'])
  })

  it('takes no member from an open group because another endpoint at a former head\'s address replies that it is not the head', () => {
    // A VM died, and another VM got its address and became the head of a group. The dead VM, listed for three more seconds,
    // was queried for its group; its successor responded, so the dead VM was taken for the head of that group. Its close order
    // was answered with "close i-b127ce5b8f g1000129: elsewhere", which was taken for a release. The true head, i-4583542034,
    // at the same address 10.2.64.38, got no close order, and carried out its next join while it was open.
    const workers = new WorkerModel(['dead', 'h', 'w2'])
    workers.crash('dead')
    formOpenGroup(workers, 'g3', 3, ['h', 'w2'])
    const plan: FormationPlan = {
      group: 'g9', formation: 9, model: 'small', members: ['h', 'w2'], joinTimeoutMs: 1_000, former: [{ group: 'g3', formation: 3, head: 'dead', taken: ['h', 'w2'], closeMode: CloseMode.Wait }]
    }
    perform(plan, workers, (order) => order.endpoint === 'dead' ? OrderReply.Elsewhere : workers.apply(order))
    expect(workers.violations).to.deep.equal([])
  })

  it('takes no member that a delayed order has brought back to a group whose head does not respond', () => {
    // The head of an open group was unreachable for the lease holder for 0.35 s and was taken for gone:
    // "former":["g1000029:gone"], and 2.9 s later "endpoint-reachable" of that head. Its members joined another group while it
    // was open. They had been ordered to leave, but an earlier join order for the same group, sent twice because the first
    // copy got no reply, can be carried out after the leave and bring the member back before its next join.
    const workers = new WorkerModel(['h', 'w2', 'w3'])
    formOpenGroup(workers, 'g3', 3, ['h', 'w2'])
    const plan: FormationPlan = {
      group: 'g9', formation: 9, model: 'small', members: ['w2', 'w3'], joinTimeoutMs: 1_000, former: [{ group: 'g3', formation: 3, head: null, taken: ['w2'], closeMode: CloseMode.BreakOff }]
    }
    perform(plan, workers, (addressed) => {
      const reply = workers.apply(addressed)
      if (addressed.order.kind === EndpointOrderKind.Leave) workers.apply(firstJoinOf(addressed.endpoint, 'g3', 3, ['h', 'w2']))
      return reply
    })
    expect(workers.violations).to.deep.equal([])
  })
})

/** A join order to a member that has carried out no order yet. */
function firstJoinOf (endpoint: string, group: string, formation: number, members: readonly string[]): AddressedOrder {
  return { endpoint, order: { kind: EndpointOrderKind.Join, group, formation, model: 'small', members }, expectedOrderCount: 0 }
}

function formOpenGroup (workers: WorkerModel, group: string, formation: number, members: readonly string[]): void {
  for (const member of members) workers.apply(firstJoinOf(member, group, formation, members))
  workers.completeJoins()
  workers.apply({ endpoint: members[0]!, order: { kind: EndpointOrderKind.Open, group, formation }, expectedOrderCount: null })
}

/** Carries out a plan whose members are all where the plan expects them; `send` delivers the orders. */
function perform (plan: FormationPlan, workers: WorkerModel, send: (order: AddressedOrder) => OrderReply): void {
  const steps = formGroup(plan)
  steps.next()
  let step = steps.next(memberReports(plan, workers))
  while (step.done !== true) {
    workers.completeJoins()
    step = steps.next(step.value.kind === FormationEffectKind.SendOrders ? step.value.orders.map(send) : true)
  }
}
