import { expect } from 'chai'
import fc from 'fast-check'
import { createRandom } from '../../../../process/Random.js'
import { CloseMode, EndpointOrderKind, OrderReply } from '../../EndpointOrder.js'
import { FormationEffectKind, FormationOutcome, formGroup, type AddressedOrder, type FormationPlan } from '../../FormationProcedures.js'
import { FleetRun, memberReports } from '../fixtures/FleetRun.js'
import { FleetFault, FaultyFleetRun } from '../fixtures/FaultyFleetRun.js'
import { WorkerModel } from '../fixtures/WorkerModel.js'

/** How often a random run must have brought each strain to a formation to say anything about it: once in four runs. */
const MIN_ENCOUNTERS = 100

describe('formGroup', () => {
  it('opens after every member has joined and is ready, whatever answers get lost', () => {
    fc.assert(fc.property(fc.integer(), (seed) => {
      const run = new FleetRun(createRandom(seed))
      run.run()
      expect(run.workers.violations).to.deep.equal([])
    }), { seed: 20261202, numRuns: 400 })
  })

  it('takes no member from under an open head, whatever is believed of addresses and heads', () => {
    const met = new Map<FleetFault, number>()
    fc.assert(fc.property(fc.integer(), (seed) => {
      const run = new FaultyFleetRun(createRandom(seed))
      run.run()
      for (const strain of Object.values(FleetFault)) met.set(strain, (met.get(strain) ?? 0) + run.encounters[strain])
      expect(run.workers.violations).to.deep.equal([])
    }), { seed: 20261203, numRuns: 400 })
    console.log(`    formations met: ${[...met].map(([strain, times]) => `${strain} ${times}`).join(', ')}`)
    for (const strain of Object.values(FleetFault)) expect(met.get(strain), strain).to.be.at.least(MIN_ENCOUNTERS)
  })

  it('opens no head again that has left its formation, whatever is carried out late', () => {
    // Symptom: a member joins another group while the head that it left is open again. Sequence: a head leaves its
    // formation and has joined no other yet; a join and an open of that same formation, both held back by the head, bring
    // it back; its former member, or the head itself, then gets its next join. Cause: only a join under a higher number
    // voids what is held back, and between the leave and that join there is none.
    for (const seed of [1_162, 6_341, 17_950]) {
      const run = new FleetRun(createRandom(seed))
      run.run()
      expect(run.workers.violations, `seed ${seed}`).to.deep.equal([])
    }
  })

  it('takes no member while copies of the orders that formed its group are carried out late', () => {
    // A free head left its formation; a copy of its join and one of its open, both held back, brought it back before the next
    // join, and then its former member, or it itself, joined another group while it was open. The orders of two runs:
    //   leave w3 g7006: done, late join w3 g7006: begun, late open w3 g7006: begun, join w4 g9002 (a member of g7006): begun
    //   leave w1 g3004: done, late join w1 g3004: begun, late open w1 g3004: begun, join w1 g4002: begun
    // The copies are of what was really sent, so a join that states no order count fails here, and so does a member that is
    // freed by its head's leave.
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

  it('keeps to it on the seeds that show each half of how a member is freed', () => {
    // Without the order count in joins, or with a member freed by its head's leave, these runs break as those above did. Seeds
    // say nothing for good: a stand-in that draws once more plays another day, so each half has its sequence above as well.
    for (const seed of [2_137, 2_843, 5_833, 10_064, 15_485, 16_486, 16_859, 17_950]) {
      const run = new FleetRun(createRandom(seed))
      run.run()
      expect(run.workers.violations, `seed ${seed}`).to.deep.equal([])
    }
    for (const seed of [93, 207, 261, 343, 374, 623]) {
      const run = new FaultyFleetRun(createRandom(seed))
      run.run()
      expect(run.workers.violations, `strained seed ${seed}`).to.deep.equal([])
    }
  })

  it('orders nothing when a member is not where the list says', () => {
    // Symptom: a head joins another group while it is open. Sequence: the store goes out, a group is formed by direct
    // orders, the store comes back with the entries of before, and the members are taken for free. Cause: an old list.
    const plan: FormationPlan = { group: 'new', formation: 9, model: 'small', members: ['w1', 'w2'], joinTimeoutMs: 1_000, former: [] }
    const steps = formGroup(plan)
    expect(steps.next().value).to.deep.equal({ kind: FormationEffectKind.ConfirmMembers, plan })
    expect(steps.next(null)).to.deep.equal({ done: true, value: FormationOutcome.NotAsListed })
  })

  it('gives a plan up when a head that must close does not answer', () => {
    // Symptom: members of a broken group are blocked for 16 s. Sequence: a head dies, and the order to close it is
    // repeated for as long as a living head may take to finish. Cause: no answer was treated like a slow close.
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
    // Symptom: a head joins another group while it is open. Sequence: an order to open is delayed; the next decider
    // closes the head, the delayed order opens it again, the order to join arrives. Cause: only the head's own
    // leaving voids the delayed order. Its members leave as well: a late order to join is void for who has left.
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

  it('takes no member from an open group because a stranger at an address says that it is not its head', () => {
    // A VM died, and another one came to its address and became the head of a group. The dead one, listed for three more
    // seconds, was asked where it is; its successor answered, and so the dead one was taken for the head of that group. It was
    // told to close: "close i-b127ce5b8f g1000129: elsewhere", and this was taken for a release. The true head, i-4583542034,
    // at the same address 10.2.64.38, was never asked, and took its next join while it was open.
    const workers = new WorkerModel(['dead', 'h', 'w2'])
    workers.crash('dead')
    formOpenGroup(workers, 'g3', 3, ['h', 'w2'])
    const plan: FormationPlan = {
      group: 'g9', formation: 9, model: 'small', members: ['h', 'w2'], joinTimeoutMs: 1_000, former: [{ group: 'g3', formation: 3, head: 'dead', taken: ['h', 'w2'], closeMode: CloseMode.Wait }]
    }
    perform(plan, workers, (order) => order.endpoint === 'dead' ? OrderReply.Elsewhere : workers.apply(order))
    expect(workers.violations).to.deep.equal([])
  })

  it('takes no member that a late order has brought back to a group whose head is silent', () => {
    // The head of an open group was cut off from the deciding node, answered nothing for 0.35 s and was taken for gone:
    // "former":["g1000029:gone"], and 2.9 s later "endpoint-reachable" of that head. Its members joined another group while it
    // was open. They had been told to leave; but an earlier order to join that same group, sent twice because the first one
    // got no answer, can be carried out after the leave and bring its member back before its next join.
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

/** An order to join as it is sent to a member that has carried out no order yet. */
function firstJoinOf (endpoint: string, group: string, formation: number, members: readonly string[]): AddressedOrder {
  return { endpoint, order: { kind: EndpointOrderKind.Join, group, formation, model: 'small', members }, expectedOrderCount: 0 }
}

function formOpenGroup (workers: WorkerModel, group: string, formation: number, members: readonly string[]): void {
  for (const member of members) workers.apply(firstJoinOf(member, group, formation, members))
  workers.completeJoins()
  workers.apply({ endpoint: members[0]!, order: { kind: EndpointOrderKind.Open, group, formation }, expectedOrderCount: null })
}

/** Carries out a plan, every member of which is where the plan says; orders go by `send`. */
function perform (plan: FormationPlan, workers: WorkerModel, send: (order: AddressedOrder) => OrderReply): void {
  const steps = formGroup(plan)
  steps.next()
  let step = steps.next(memberReports(plan, workers))
  while (step.done !== true) {
    workers.completeJoins()
    step = steps.next(step.value.kind === FormationEffectKind.SendOrders ? step.value.orders.map(send) : true)
  }
}
