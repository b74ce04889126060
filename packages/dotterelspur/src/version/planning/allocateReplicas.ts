import type { FabricDomainId } from '../../process/ids.js'
import { hashText } from '../../process/rendezvous.js'
import type { ModelIntent } from '../TeamSettings.js'
import type { FabricDomainCapacity, HeldGroups, RankedIntent, ReplicaAllocation, ReplicaShare, UnmetIntent } from './ReplicaAllocation.js'
import { compareText } from './VmTable.js'

const NOTHING_HELD = { serving: 0, forming: 0, lost: 0 }
/** Least difference in replicas between two failure domains that justifies moving one. */
const MIN_REBALANCE_DIFFERENCE = 2

interface Slot {
  readonly domain: FabricDomainCapacity
  replicas: number
}

/**
 * VMs per fabric domain that no intent of higher rank has taken, and how many of them intents of lower rank hold. A
 * restarting VM drops out of the platform's list while its group waits for it, so VMs of held groups count as existing.
 */
class CapacityLedger {
  private readonly remaining = new Map<FabricDomainId, number>()
  private readonly heldByLower = new Map<FabricDomainId, number>()

  constructor (domains: readonly FabricDomainCapacity[], intents: readonly RankedIntent[]) {
    const sizes = new Map(intents.map((ranked) => [intentKey(ranked.team, ranked.intent.model), ranked.intent.vmsPerReplica]))
    for (const domain of domains) {
      const held = domain.held.reduce((sum, groups) =>
        sum + (groups.serving + groups.forming) * (sizes.get(intentKey(groups.team, groups.model)) ?? 0), 0)
      this.heldByLower.set(domain.fabricDomain, held)
      this.remaining.set(domain.fabricDomain, Math.max(domain.vms, held))
    }
  }

  take (domain: FabricDomainId, vms: number): void {
    this.remaining.set(domain, this.remaining.get(domain)! - vms)
  }

  /** Called when an intent is allocated: its own groups no longer count as held by a lower rank. */
  startIntent (domain: FabricDomainCapacity, vms: number): void {
    this.heldByLower.set(domain.fabricDomain, Math.max(0, this.heldByLower.get(domain.fabricDomain)! - vms))
  }

  fits (domain: FabricDomainId, vms: number): boolean {
    return this.remaining.get(domain)! >= vms
  }

  fitsWithoutDisplacing (domain: FabricDomainId, vms: number): boolean {
    return this.remaining.get(domain)! - this.heldByLower.get(domain)! >= vms
  }
}

/**
 * Allocates the replicas of each intent to fabric domains. A pure function of the settings, the platform's list and the
 * assignments, which every controller reads. Controllers of different failure domains therefore come to the same result
 * without communicating; while their views differ, they may form one replica too many but do not drop one that serves.
 *
 * Intents are allocated by priority, then by name. Existing groups stay where they are; new replicas go to the failure
 * domain with the fewest replicas of the intent.
 */
export function allocateReplicas (intents: readonly RankedIntent[], domains: readonly FabricDomainCapacity[]): ReplicaAllocation {
  const ledger = new CapacityLedger(domains, intents)
  const shares: ReplicaShare[] = []
  const unmet: UnmetIntent[] = []
  const higherRanked: RankedIntent[] = []
  for (const ranked of rankIntents(intents)) {
    const slots = allocateIntent(ranked, domains, ledger)
    const allocated = slots.reduce((sum, slot) => sum + slot.replicas, 0)
    for (const slot of slots) {
      if (slot.replicas > 0) shares.push({ team: ranked.team, model: ranked.intent.model, fabricDomain: slot.domain.fabricDomain, replicas: slot.replicas })
    }
    if (allocated < ranked.intent.replicas) unmet.push(describeUnmet(ranked, allocated, slots, higherRanked.filter((other) => holdsAny(other, slots, shares))))
    higherRanked.push(ranked)
  }
  return { shares, unmet }
}

function rankIntents (intents: readonly RankedIntent[]): readonly RankedIntent[] {
  return intents.slice().sort((left, right) =>
    right.priority - left.priority ||
    compareText(left.team, right.team) ||
    compareText(left.intent.model, right.intent.model))
}

function allocateIntent (ranked: RankedIntent, domains: readonly FabricDomainCapacity[], ledger: CapacityLedger): readonly Slot[] {
  const { intent } = ranked
  const slots = domains
    .filter((domain) => isEligible(intent, domain))
    .sort((left, right) => compareText(left.fabricDomain, right.fabricDomain))
    .map((domain): Slot => ({ domain, replicas: 0 }))
  keepHeldReplicas(ranked, slots, ledger)
  removeSurplus(ranked, slots, ledger)
  placeMissingReplicas(ranked, slots, ledger)
  startRebalance(ranked, slots, ledger)
  return slots
}

function isEligible (intent: ModelIntent, domain: FabricDomainCapacity): boolean {
  return allows(intent.regions, domain.region) && allows(intent.failureDomains, domain.failureDomain) && allows(intent.fabricDomains, domain.fabricDomain)
}

function allows (named: readonly string[], id: string): boolean {
  return named.length === 0 || named.includes(id)
}

function heldOf (ranked: RankedIntent, domain: FabricDomainCapacity): Pick<HeldGroups, 'serving' | 'forming' | 'lost'> {
  return domain.held.find((held) => held.team === ranked.team && held.model === ranked.intent.model) ?? NOTHING_HELD
}

function keepHeldReplicas (ranked: RankedIntent, slots: readonly Slot[], ledger: CapacityLedger): void {
  const size = ranked.intent.vmsPerReplica
  for (const slot of slots) {
    const { serving, forming } = heldOf(ranked, slot.domain)
    const held = serving + forming
    ledger.startIntent(slot.domain, held * size)
    while (slot.replicas < held && ledger.fits(slot.domain.fabricDomain, size)) addReplica(slot, size, ledger)
  }
}

function addReplica (slot: Slot, size: number, ledger: CapacityLedger): void {
  slot.replicas += 1
  ledger.take(slot.domain.fabricDomain, size)
}

function total (slots: readonly Slot[]): number {
  return slots.reduce((sum, slot) => sum + slot.replicas, 0)
}

/**
 * Removes surplus replicas, from the failure domain with the most replicas first. One replica above the wanted count stays
 * until more replicas serve than are wanted: it may be the target of a rebalance, or another controller may just have
 * formed it.
 */
function removeSurplus (ranked: RankedIntent, slots: readonly Slot[], ledger: CapacityLedger): void {
  const wanted = ranked.intent.replicas
  let serving = slots.reduce((sum, slot) => sum + Math.min(slot.replicas, heldOf(ranked, slot.domain).serving), 0)
  while (total(slots) > wanted) {
    if (total(slots) === wanted + 1 && serving <= wanted && serving > 0) return
    const slot = mostCrowded(ranked, slots, serving > wanted || wanted === 0)
    if (slot === undefined) return
    if (slot.replicas <= heldOf(ranked, slot.domain).serving) serving -= 1
    slot.replicas -= 1
    ledger.take(slot.domain.fabricDomain, -ranked.intent.vmsPerReplica)
  }
}

function mostCrowded (ranked: RankedIntent, slots: readonly Slot[], mayBeServing: boolean): Slot | undefined {
  return slots
    .filter((slot) => slot.replicas > 0 && (mayBeServing || slot.replicas > heldOf(ranked, slot.domain).serving))
    .sort((left, right) =>
      inFailureDomain(slots, right) - inFailureDomain(slots, left) ||
      right.replicas - left.replicas ||
      tieBreakHash(ranked, left) - tieBreakHash(ranked, right))[0]
}

function inFailureDomain (slots: readonly Slot[], slot: Slot): number {
  return total(slots.filter((other) => other.domain.failureDomain === slot.domain.failureDomain))
}

function inRegion (slots: readonly Slot[], slot: Slot): number {
  return total(slots.filter((other) => other.domain.region === slot.domain.region))
}

function tieBreakHash (ranked: RankedIntent, slot: Slot): number {
  return hashText(`${ranked.team}/${ranked.intent.model}/${slot.domain.fabricDomain}`)
}

function placeMissingReplicas (ranked: RankedIntent, slots: readonly Slot[], ledger: CapacityLedger): void {
  while (total(slots) < ranked.intent.replicas) {
    const slot = leastCrowded(ranked, slots, ledger)
    if (slot === undefined) return
    addReplica(slot, ranked.intent.vmsPerReplica, ledger)
  }
}

/** Prefers free VMs to VMs held by intents of lower rank, then the fewest replicas in the region, failure domain and fabric domain. */
function leastCrowded (ranked: RankedIntent, slots: readonly Slot[], ledger: CapacityLedger): Slot | undefined {
  const size = ranked.intent.vmsPerReplica
  const candidates = slots.filter((slot) => ledger.fits(slot.domain.fabricDomain, size))
  const displaces = (slot: Slot): number => ledger.fitsWithoutDisplacing(slot.domain.fabricDomain, size) ? 0 : 1
  const lost = (slot: Slot): number => heldOf(ranked, slot.domain).lost
  return candidates.sort((left, right) =>
    lost(left) - lost(right) ||
    displaces(left) - displaces(right) ||
    inRegion(slots, left) - inRegion(slots, right) ||
    inFailureDomain(slots, left) - inFailureDomain(slots, right) ||
    left.replicas - right.replicas ||
    tieBreakHash(ranked, left) - tieBreakHash(ranked, right))[0]
}

/**
 * Rebalances replicas after a failure domain has come back: its replicas have been formed elsewhere, so that the loss of
 * another failure domain would take out too many. One replica at a time is added in the failure domain with the fewest;
 * once it serves, `removeSurplus` removes one from the failure domain with the most.
 */
function startRebalance (ranked: RankedIntent, slots: readonly Slot[], ledger: CapacityLedger): void {
  const wanted = ranked.intent.replicas
  const serving = slots.reduce((sum, slot) => sum + heldOf(ranked, slot.domain).serving, 0)
  if (total(slots) !== wanted || serving !== wanted) return
  const size = ranked.intent.vmsPerReplica
  const free = slots.filter((slot) => ledger.fitsWithoutDisplacing(slot.domain.fabricDomain, size) && heldOf(ranked, slot.domain).lost === 0)
  const target = free.sort((left, right) => inFailureDomain(slots, left) - inFailureDomain(slots, right) || tieBreakHash(ranked, left) - tieBreakHash(ranked, right))[0]
  const source = mostCrowded(ranked, slots, true)
  if (target === undefined || source === undefined) return
  if (inFailureDomain(slots, source) - inFailureDomain(slots, target) < MIN_REBALANCE_DIFFERENCE) return
  addReplica(target, size, ledger)
}

/** Whether the other intent has replicas in one of the slots' fabric domains. */
function holdsAny (other: RankedIntent, slots: readonly Slot[], shares: readonly ReplicaShare[]): boolean {
  return shares.some((share) => share.team === other.team && share.model === other.intent.model &&
    slots.some((slot) => slot.domain.fabricDomain === share.fabricDomain))
}

function describeUnmet (ranked: RankedIntent, allocated: number, slots: readonly Slot[], rivals: readonly RankedIntent[]): UnmetIntent {
  const { team, intent } = ranked
  const names = rivals.map((other) => `${other.team}/${other.intent.model} (priority ${other.priority})`)
  const cause = slots.length === 0
    ? 'no fabric domain is allowed by its regions, failure domains and fabric domains'
    : `no allowed fabric domain has another ${intent.vmsPerReplica} VMs available`
  const lostTo = names.length === 0 ? '' : `; intents that rank higher (this one has priority ${ranked.priority}): ${names.join(', ')}`
  return {
    team,
    model: intent.model,
    wanted: intent.replicas,
    allocated,
    lostTo: rivals.map((other) => ({ team: other.team, model: other.intent.model })),
    eligibleFabricDomains: slots.length,
    reason: cause + lostTo
  }
}

function intentKey (team: string, model: string): string {
  return `${team}\u0000${model}`
}
