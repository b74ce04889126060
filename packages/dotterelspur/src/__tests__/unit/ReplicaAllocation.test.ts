import { expect } from 'chai'
import fc from 'fast-check'
import { PriorityClass, allocateReplicas } from '../../index.js'
import type { FabricDomainCapacity, HeldGroups, ModelIntent, RankedIntent, ReplicaAllocation } from '../../index.js'

const SEED = 2_718

function createRankedIntent (change: Partial<ModelIntent> = {}, team = 'tradeline', priority = 50): RankedIntent {
  const intent: ModelIntent = {
    model: 'logbook',
    version: 'v1',
    adapters: [],
    replicas: 3,
    vmsPerReplica: 4,
    standbysPerFabricDomain: 0,
    regions: [],
    failureDomains: [],
    fabricDomains: [],
    defaultPriority: PriorityClass.Standard,
    maxTokens: 100,
    rollout: { maxUnavailable: 1, healthyForMs: 1_000, maxErrorPercent: 5 },
    ...change
  }
  return { team, priority, intent }
}

function createDomains (vms: readonly number[], held: ReadonlyArray<Partial<HeldGroups>> = []): readonly FabricDomainCapacity[] {
  return vms.map((count, index) => ({
    region: 'perth',
    failureDomain: `f${index}`,
    fabricDomain: `f${index}-a`,
    vms: count,
    held: held[index] === undefined ? [] : [{ team: 'tradeline', model: 'logbook', serving: 0, forming: 0, lost: 0, ...held[index] }]
  }))
}

function sharesOf (allocation: ReplicaAllocation, team = 'tradeline'): Record<string, number> {
  return Object.fromEntries(allocation.shares.filter((share) => share.team === team).map((share) => [share.fabricDomain, share.replicas]))
}

describe('allocateReplicas', () => {
  it('spreads replicas over failure domains, in whole groups only', () => {
    expect(sharesOf(allocateReplicas([createRankedIntent()], createDomains([15, 15, 15])))).to.deep.equal({ 'f0-a': 1, 'f1-a': 1, 'f2-a': 1 })
    const tight = allocateReplicas([createRankedIntent()], createDomains([3, 7, 3]))
    expect(sharesOf(tight)).to.deep.equal({ 'f1-a': 1 })
    expect(tight.unmet[0]).to.deep.include({ wanted: 3, allocated: 1, lostTo: [] })
  })

  it('keeps existing groups where they are', () => {
    const domains = createDomains([15, 15, 15], [{ serving: 2 }, { serving: 1 }])
    expect(sharesOf(allocateReplicas([createRankedIntent()], domains))).to.include({ 'f0-a': 2, 'f1-a': 1 })
  })

  it('rebalances one replica at a time after a failure domain has come back, and removes the old one only when the new one serves', () => {
    const wanted = createRankedIntent({ replicas: 4 })
    const started = allocateReplicas([wanted], createDomains([15, 15, 15], [{ serving: 2 }, { serving: 2 }]))
    expect(sharesOf(started)).to.deep.equal({ 'f0-a': 2, 'f1-a': 2, 'f2-a': 1 })
    const forming = allocateReplicas([wanted], createDomains([15, 15, 15], [{ serving: 2 }, { serving: 2 }, { forming: 1 }]))
    expect(sharesOf(forming)).to.deep.equal({ 'f0-a': 2, 'f1-a': 2, 'f2-a': 1 })
    const served = allocateReplicas([wanted], createDomains([15, 15, 15], [{ serving: 2 }, { serving: 2 }, { serving: 1 }]))
    expect(Object.values(sharesOf(served)).reduce((sum, count) => sum + count, 0)).to.equal(4)
    expect(sharesOf(served)['f2-a']).to.equal(1)
  })

  it('allocates competing teams by priority and names the intent that took the VMs', () => {
    const high = createRankedIntent({ replicas: 2 }, 'tradeline', 80)
    const low = createRankedIntent({ model: 'drafting', replicas: 2 }, 'piedmont', 20)
    const allocation = allocateReplicas([low, high], createDomains([4, 8]))
    expect(sharesOf(allocation)).to.deep.equal({ 'f0-a': 1, 'f1-a': 1 })
    expect(sharesOf(allocation, 'piedmont')).to.deep.equal({ 'f1-a': 1 })
    expect(allocation.unmet).to.have.length(1)
    expect(allocation.unmet[0]!.lostTo).to.deep.equal([{ team: 'tradeline', model: 'logbook' }])
    expect(allocation.unmet[0]!.reason).to.contain('priority 80')
  })

  // Guards against giving up a group that waits for a restarting VM and forming another from VMs without the weights: the VM
  // is missing from the platform's list for some minutes, and the number of listed VMs was taken for the capacity.
  it('keeps groups while a VM is missing from the list', () => {
    const domains = createDomains([7, 15, 15], [{ serving: 1, forming: 1 }, { serving: 1 }])
    expect(sharesOf(allocateReplicas([createRankedIntent()], domains))).to.include({ 'f0-a': 2, 'f1-a': 1 })
  })

  it(`never exceeds the capacity, nor the wanted count by more than one, and does not depend on the order of its input (seed ${SEED})`, () => {
    const domains = fc.array(fc.nat(30), { minLength: 1, maxLength: 6 }).map((vms) => createDomains(vms))
    const intents = fc.tuple(fc.nat(6), fc.nat(6), fc.integer({ min: 1, max: 5 }), fc.integer({ min: 1, max: 5 }))
    fc.assert(fc.property(domains, intents, (capacities, [first, second, firstSize, secondSize]) => {
      const ranked = [createRankedIntent({ replicas: first, vmsPerReplica: firstSize }), createRankedIntent({ model: 'drafting', replicas: second, vmsPerReplica: secondSize }, 'piedmont', 70)]
      const allocation = allocateReplicas(ranked, capacities)
      expect(allocateReplicas(ranked.slice().reverse(), capacities.slice().reverse())).to.deep.equal(allocation)
      for (const domain of capacities) {
        const used = allocation.shares.filter((share) => share.fabricDomain === domain.fabricDomain)
          .reduce((sum, share) => sum + share.replicas * (share.model === 'drafting' ? secondSize : firstSize), 0)
        expect(used).to.be.at.most(domain.vms)
      }
      const count = allocation.shares.filter((share) => share.model === 'logbook').reduce((sum, share) => sum + share.replicas, 0)
      expect(count).to.be.at.most(first + 1)
    }), { seed: SEED })
  })
})
