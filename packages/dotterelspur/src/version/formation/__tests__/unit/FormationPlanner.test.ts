import { expect } from 'chai'
import { MemberState } from '../../Endpoint.js'
import { CloseMode } from '../../EndpointOrder.js'
import { FormationDecisionKind, type FormationDecision } from '../../FormationDecision.js'
import { planFormations } from '../../FormationPlanner.js'
import type { FormationPlan } from '../../FormationProcedures.js'
import { formationKey } from '../../FormationView.js'
import { groupTargets } from '../../PendingFormation.js'
import { EndpointCondition, judgeProbe, ReportResultKind } from '../../EndpointCondition.js'
import { LinkState } from '../../LinkState.js'
import { stalledHeads } from '../../StalledGroups.js'
import { createEndpoint, createGroup, createInput, LARGE, SMALL } from '../fixtures/endpoints.js'

function plans (decisions: readonly FormationDecision[]): FormationPlan[] {
  return decisions.flatMap((decision) => decision.kind === FormationDecisionKind.Form ? [decision.plan] : [])
}

function staged (decisions: readonly FormationDecision[]): Array<[string, string]> {
  return decisions.flatMap((decision): Array<[string, string]> => decision.kind === FormationDecisionKind.Stage ? [[decision.endpoint, decision.model]] : [])
}

describe('planFormations', () => {
  it('repairs a group from its survivor and a standby of the same domain', () => {
    const [head, member] = createGroup('g', SMALL, MemberState.Open)
    const standby = createEndpoint('standby', { staged: ['small'] })
    const [plan] = plans(planFormations(createInput([head!, member!, standby], { unreachable: new Set([member!.endpoint]) })))
    expect(plan?.members).to.have.members([head!.endpoint, 'standby'])
    expect(plan?.former).to.deep.equal([{ group: 'g', formation: 7, head: head!.endpoint, taken: [head!.endpoint], closeMode: CloseMode.BreakOff }])
  })

  it('takes no member of a group while another of its members is in use by a formation', () => {
    // Guards against a new group waiting 16 s for a dead head to close: both members of a pair die, a formation queries the
    // first one, and the planner treats the second one as free.
    const group = createGroup('g', SMALL, MemberState.Open)
    const standby = createEndpoint('standby', { staged: ['small'] })
    const decisions = planFormations(createInput([...group, standby], { engaged: new Set([group[0]!.endpoint]) }))
    expect(plans(decisions)).to.deep.equal([])
  })

  it('leaves serving groups alone when models are below their targets', () => {
    const groups = [...createGroup('g', LARGE, MemberState.Open), ...createGroup('h', SMALL, MemberState.Open)]
    expect(planFormations(createInput(groups, { peakEndpoints: 60 }))).to.deep.equal([])
  })

  it('forms a group from the survivors of two broken groups', () => {
    const first = createGroup('g', SMALL, MemberState.Open)
    const second = createGroup('h', SMALL, MemberState.Open)
    const [plan] = plans(planFormations(createInput([first[0]!, second[0]!])))
    expect(plan?.members).to.have.members(['g-0', 'h-0'])
    expect(plan?.former.map(({ head }) => head)).to.have.members(['g-0', 'h-0'])
  })

  it('keeps groups inside a fabric domain', () => {
    const apart = [createEndpoint('one', { staged: ['small'] }), createEndpoint('two', { staged: ['small'], fabricDomain: 'a-2' })]
    expect(plans(planFormations(createInput(apart)))).to.deep.equal([])
  })

  it('names the former head that is no longer listed but still responds, so that it is closed first', () => {
    // Guards against a worker joining another group while the head of its former group still serves: the head loses its
    // connection to the store, so that its entry expires, but callers' nodes still reach it.
    const [, member] = createGroup('g', SMALL, MemberState.Open)
    const standby = createEndpoint('standby', { staged: ['small'] })
    const [plan] = plans(planFormations(createInput([member!, standby], { unlistedHeads: new Map([[formationKey('g', 7), 'g-0']]) })))
    expect(plan?.former[0]?.head).to.equal('g-0')
  })

  it('forms a complete group again if the former lease holder did not open it', () => {
    // Guards against a head joining another group while it is open: a lease holder closes a group, its join order is delayed,
    // and its successor opens the group again. Only a higher formation number invalidates the delayed order.
    const [plan] = plans(planFormations(createInput(createGroup('g', SMALL, MemberState.Ready))))
    expect(plan?.members).to.deep.equal(['g-0', 'g-1'])
    expect(plan?.formation).to.be.greaterThan(7)
  })

  it('forms groups that need loads only if `mayLoadToForm` is set', () => {
    const empty = [1, 2, 3, 4].map((index) => createEndpoint(`empty-${index}`))
    expect(plans(planFormations(createInput(empty)))).to.deep.equal([])
    expect(plans(planFormations(createInput(empty, { mayLoadToForm: true })))).to.have.length(1)
  })

  it('stages the model furthest below its target on members of broken groups', () => {
    // Guards against idle hosts with a staged model: three of four members survive, no standby is left, and only hosts that
    // had never been in a group were considered for staging.
    const survivors = createGroup('g', LARGE, MemberState.Broken).slice(1)
    const decisions = planFormations(createInput(survivors, { demand: new Map([['large', 1], ['small', 50]]), peakEndpoints: 60 }))
    expect(staged(decisions).map(([, model]) => model)).to.deep.equal(['small', 'small'])
  })

  it('spreads standbys over the models while their groups are still forming', () => {
    // Guards against staging the large model on every standby, so that pairs that lose a member stay broken: while a fleet
    // starts, all groups form at once and the remaining hosts are staged. If groups that are still forming are not counted in
    // their fabric domain, the first model seems to lack standbys throughout.
    const empty = [1, 2].map((index) => createEndpoint(`empty-${index}`))
    const forming = [{ model: 'large', fabricDomain: 'a-1' }, { model: 'small', fabricDomain: 'a-1' }, { model: 'small', fabricDomain: 'a-1' }]
    const decisions = planFormations(createInput(empty, { forming, peakEndpoints: 8 }))
    expect(staged(decisions).map(([, model]) => model)).to.have.members(['large', 'small'])
  })

  it('keeps a domain\'s standby for its groups, and stages the model furthest below its target on the others', () => {
    // Guards against a first loss that finds no standby: a model is briefly one group below its target, and all idle hosts,
    // including the standbys of the other model, are loaded with it.
    const group = createGroup('g', LARGE, MemberState.Open)
    const idle = [1, 2, 3].map((index) => createEndpoint(`idle-${index}`, { staged: ['large'] }))
    const decisions = planFormations(createInput([...group, ...idle], { peakEndpoints: 60, demand: new Map([['large', 1], ['small', 20]]) }))
    expect(staged(decisions)).to.deep.equal([['idle-2', 'small'], ['idle-3', 'small']])
  })

  it('fills a fabric domain with one model before it mixes models in it', () => {
    // Guards against a third of the hosts being idle after some losses: each domain holds one large group and some pairs, loses
    // a member or two, and is left with three hosts of a model that needs four. Hosts cannot replace members across domains.
    const empty = ['a-1', 'a-2'].flatMap((fabricDomain) => Array.from({ length: 10 }, (_unused, index) => createEndpoint(`${fabricDomain}-${index}`, { fabricDomain })))
    const formed = plans(planFormations(createInput(empty, { mayLoadToForm: true, loadAllowance: 60 })))
    const domains = (model: string): Set<string> => new Set(formed.filter((plan) => plan.model === model).flatMap(({ members }) => members.map((member) => member.slice(0, 3))))
    expect(formed.map(({ model }) => model).sort()).to.deep.equal(['large', 'large', 'small', 'small', 'small', 'small', 'small'])
    expect(domains('large').size).to.equal(1)
    expect(domains('small').size).to.equal(1)
  })

  it('loads first where one load completes a group', () => {
    // Guards against groups that stay broken although the weight store is busy throughout: if fabric domains are served in
    // order of name, the few loads that are allowed go to hosts that need three more loads to form a group.
    const empty = [1, 2, 3, 4].map((index) => createEndpoint(`empty-${index}`))
    const pair = [createEndpoint('half', { staged: ['small'], fabricDomain: 'a-2' }), createEndpoint('rest', { fabricDomain: 'a-2' })]
    const decisions = planFormations(createInput([...empty, ...pair], { loadAllowance: 1, peakEndpoints: 60 }))
    expect(staged(decisions)).to.deep.equal([['rest', 'small']])
  })

  describe('when a large group lacks a member that no standby replaces', () => {
    // Guards against half of the hosts with the large model being idle while requests for it are rejected: each fabric domain
    // loses a member or two, and the survivors wait for a host of their domain, where all others serve the small model, which
    // has enough groups. If members are taken only from broken groups, no host becomes available.
    const survivors = [1, 2, 3].map((index) => createEndpoint(`large-${index}`, { staged: ['large'], model: 'large' }))
    const pairs = ['p', 'q', 'r', 's'].map((name) => createGroup(name, SMALL, MemberState.Open))
    const wanted = { peakEndpoints: 16 }

    it('loads the model onto a host of a model that is closer to its target, which continues to serve', () => {
      const decisions = planFormations(createInput([...survivors, ...pairs.flat()], wanted))
      expect(staged(decisions)).to.deep.equal([['p-0', 'large']])
      expect(plans(decisions)).to.deep.equal([])
    })

    it('selects no second host while the first one loads', () => {
      const decisions = planFormations(createInput([...survivors, ...pairs.flat()], { ...wanted, loading: new Map([['q-1', 'large']]) }))
      expect(staged(decisions)).to.deep.equal([])
    })

    it('takes the host once it holds the model, after its group has finished its requests', () => {
      const [head, lent] = createGroup('p', SMALL, MemberState.Open)
      const prepared = [head!, { ...lent!, staged: ['large'] }]
      const [plan] = plans(planFormations(createInput([...survivors, ...prepared, ...pairs.slice(1).flat()], wanted)))
      expect(plan?.members).to.have.members(['large-1', 'large-2', 'large-3', 'p-1'])
      expect(plan?.former).to.deep.equal([{ group: 'p', formation: 7, head: 'p-0', taken: ['p-1'], closeMode: CloseMode.Wait }])
    })

    it('breaks up no group of a model that would then be further below its target than the receiving model', () => {
      expect(staged(planFormations(createInput([...survivors, ...pairs[0]!], wanted))).filter(([, model]) => model === 'large')).to.deep.equal([])
    })

    it('borrows no more than half of the members, and makes the idle host a standby for the existing groups', () => {
      expect(staged(planFormations(createInput([survivors[0]!, ...pairs.flat()], wanted)))).to.deep.equal([['large-1', 'small']])
    })

    it('lends only as many groups at a time as keep the lending model closer to its target than the receiving model', () => {
      const elsewhere = [...survivors, ...pairs.flat()].map((endpoint) => ({
        ...endpoint, endpoint: `b-${endpoint.endpoint}`, fabricDomain: 'b-1', membership: endpoint.membership === null ? null : { ...endpoint.membership, group: `b-${endpoint.membership.group}` }
      }))
      const both = [...survivors, ...pairs.slice(0, 2).flat(), ...elsewhere.slice(0, 7)]
      expect(staged(planFormations(createInput(both, { peakEndpoints: 24 }))).filter(([, model]) => model === 'large')).to.have.length(1)
    })
  })

  it('loads for the model that is further below its target, though its load takes longer', () => {
    // Guards against rejecting requests for one model while the other model's groups are all replaced at once: the weight store
    // does seven loads in 16 s, and if a group of either model counts about the same, half of the loads go to the model that
    // lacks one group of fifteen.
    const nearlyLarge = [...[1, 2, 3].map((index) => createEndpoint(`large-${index}`, { staged: ['large'] })), createEndpoint('empty-large')]
    const nearlySmall = [createEndpoint('small', { staged: ['small'] }), createEndpoint('empty-small')].map((endpoint) => ({ ...endpoint, fabricDomain: 'a-2' }))
    const forming = [...Array.from({ length: 14 }, () => 'small'), ...Array.from({ length: 6 }, () => 'large')].map((model) => ({ model, fabricDomain: 'a-3' }))
    const decisions = planFormations(createInput([...nearlySmall, ...nearlyLarge], { forming, peakEndpoints: 60, loadAllowance: 1 }))
    expect(staged(decisions)).to.deep.equal([['empty-large', 'large']])
  })

  it('starts no second load on a host, and no more loads than the allowance', () => {
    const empty = [1, 2, 3, 4].map((index) => createEndpoint(`empty-${index}`))
    expect(staged(planFormations(createInput(empty, { loading: new Map([['empty-1', 'small']]), loadAllowance: 2 })))).to.have.length(2)
    expect(staged(planFormations(createInput(empty, { loading: new Map(empty.map(({ endpoint }) => [endpoint, 'small'])) })))).to.deep.equal([])
  })

  it('draws no conclusion about a group in which two available members claim the same rank', () => {
    // The record of a dead VM that was still listed had been updated with the membership of its address's next owner. That
    // owner's group, complete and open for half a second, then had two heads, appeared broken, and was planned again with the
    // dead VM as its head: "former":["g1000129:i-b127ce5b8f"]. Two claims to one rank show that one of the two records is
    // wrong, not that the group is lost.
    const group = createGroup('g', SMALL, MemberState.Open)
    const ghost = createEndpoint('ghost', { staged: ['small'], model: 'small', membership: group[0]!.membership })
    const spare = createEndpoint('spare', { staged: ['small'] })
    expect(plans(planFormations(createInput([ghost, ...group, spare])))).to.deep.equal([])
    expect(stalledHeads([ghost, ...group, spare], new Map([['small', 2]]), () => true)).to.deep.equal([])
  })

  it('ignores the claim of an unreachable member to the rank of an available one', () => {
    const group = createGroup('g', SMALL, MemberState.Open)
    const ghost = createEndpoint('ghost', { staged: ['small'], model: 'small', membership: group[0]!.membership })
    const input = createInput([ghost, ...group], { unreachable: new Set(['ghost']) })
    expect(plans(planFormations(input))).to.deep.equal([])
    expect(stalledHeads([ghost, ...group], new Map([['small', 2]]), ({ endpoint }) => endpoint !== 'ghost')).to.deep.equal([])
    const halved = createInput([ghost, group[0]!, createEndpoint('spare', { staged: ['small'] })], { unreachable: new Set(['ghost']) })
    expect(plans(planFormations(halved))[0]?.former[0]?.head).to.equal(group[0]!.endpoint)
  })

  describe('when endpoints are unresponsive', () => {
    // Guards against cutting off what a group was running: its members are taken for another group while one of them has only paused.
    const standby = createEndpoint('standby', { staged: ['small'] })

    for (const unresponsive of ['g-0', 'g-1']) {
      it(`leaves a group whole whose member ${unresponsive} is unresponsive, and counts it`, () => {
        const groups = [...createGroup('g', SMALL, MemberState.Open), ...createGroup('h', SMALL, MemberState.Open)]
        const input = { unresponsive: new Set([unresponsive]), models: [SMALL], peakEndpoints: 4 }
        expect(planFormations(createInput([...groups, standby, { ...standby, endpoint: 'other' }], input))).to.deep.equal([])
      })
    }

    it('leaves a complete group that is not open, and a head that is closing', () => {
      for (const state of [MemberState.Ready, MemberState.Closing]) {
        const input = createInput([...createGroup('g', SMALL, state), standby], { unresponsive: new Set(['g-0']) })
        expect(plans(planFormations(input)), state).to.deep.equal([])
      }
    })

    it('repairs a group with a lost member at once, without its unresponsive one', () => {
      const group = createGroup('g', LARGE, MemberState.Open)
      const standbys = ['s-1', 's-2'].map((name) => createEndpoint(name, { staged: ['large'] }))
      const input = createInput([...group, ...standbys], { unreachable: new Set(['g-1']), unresponsive: new Set(['g-2']) })
      const [plan] = plans(planFormations(input))
      expect(plan?.members).to.have.members(['g-0', 'g-3', 's-1', 's-2'])
      expect(plan?.former[0]?.closeMode).to.equal(CloseMode.BreakOff)
    })

    it('takes no member of a group with a lost member whose head is unresponsive, and may still be open', () => {
      const group = createGroup('g', LARGE, MemberState.Open)
      const standbys = ['s-1', 's-2'].map((name) => createEndpoint(name, { staged: ['large'] }))
      const input = createInput([...group, ...standbys], { unreachable: new Set(['g-1']), unresponsive: new Set(['g-0']) })
      expect(plans(planFormations(input))).to.deep.equal([])
    })

    it('lets a head finish its requests where all members of its broken group connect', () => {
      const group = createGroup('g', LARGE, MemberState.Broken)
      const spare = createEndpoint('spare', { staged: ['large'] })
      const [plan] = plans(planFormations(createInput([...group, spare], { unresponsive: new Set(['g-2']) })))
      expect(plan?.former[0]?.closeMode).to.equal(CloseMode.Wait)
    })

    it('lends no member of their groups, and neither takes nor stages them', () => {
      const survivors = [1, 2, 3].map((index) => createEndpoint(`large-${index}`, { staged: ['large'], model: 'large' }))
      const pairs = ['p', 'q', 'r', 's'].map((name) => createGroup(name, SMALL, MemberState.Open))
      const paused = new Set(['p-0', 'q-1', 'r-0', 's-1', 'empty'])
      const endpoints = [...survivors, ...pairs.flat(), createEndpoint('empty')]
      expect(staged(planFormations(createInput(endpoints, { peakEndpoints: 16, unresponsive: paused }))).filter(([, model]) => model === 'large')).to.deep.equal([])
      const prepared = pairs.flat().map((endpoint) => ({ ...endpoint, staged: ['small', 'large'] }))
      expect(plans(planFormations(createInput([...survivors, ...prepared], { peakEndpoints: 16, unresponsive: paused })))).to.deep.equal([])
    })

    it('orders nothing in a fleet of 18 groups that pause together, with standbys in each domain', () => {
      // The recorded pattern: a change of the manifest pauses the groups, and eight heads answer nothing for 1.3 s.
      const domains = ['a-1', 'a-2', 'a-3']
      const endpoints = domains.flatMap((fabricDomain) => [
        ...Array.from({ length: 6 }, (_unused, index) => createGroup(`${fabricDomain}-g${index}`, SMALL, MemberState.Open, { fabricDomain })).flat(),
        createEndpoint(`${fabricDomain}-standby`, { fabricDomain, staged: ['small'] })
      ])
      const heads = endpoints.filter(({ membership }) => membership?.rank === 0).slice(0, 8)
      for (let silentMs = 350; silentMs <= 1_300; silentMs += 50) {
        const condition = judgeProbe({ answer: ReportResultKind.Silent, link: LinkState.Connects }, silentMs)
        const paused = new Set(heads.map(({ endpoint }) => endpoint))
        const input = { models: [SMALL], demand: new Map([['small', 1]]), [condition === EndpointCondition.Unresponsive ? 'unresponsive' : 'unreachable']: paused }
        expect(planFormations(createInput(endpoints, input)), `after ${silentMs} ms`).to.deep.equal([])
      }
    })
  })

  it('ignores endpoints that are leaving', () => {
    const leaving = [1, 2].map((index) => createEndpoint(`leaving-${index}`, { staged: ['small'], leaving: true }))
    expect(planFormations(createInput(leaving))).to.deep.equal([])
  })
})

describe('groupTargets', () => {
  it('sets targets in proportion to demand, and at least one group per model', () => {
    const targets = groupTargets({ models: [LARGE, SMALL], demand: new Map([['large', 1], ['small', 2]]), peakEndpoints: 60 })
    expect(Object.fromEntries(targets)).to.deep.equal({ large: 8, small: 15 })
    const skewed = groupTargets({ models: [LARGE, SMALL], demand: new Map([['large', 0], ['small', 1]]), peakEndpoints: 60 })
    expect(skewed.get('large')).to.equal(1)
  })
})
