import type { ModelId, VmId } from '../../process/ids.js'
import { EngineState } from '../../process/Presence.js'
import type { LoadedModel } from '../../process/Presence.js'
import type { AssignedGroup, AssignedMember, ModelRevision } from '../PlatformObjects.js'
import type { FabricDomainInput, VmHealth } from './PlanningInput.js'
import { VmPresence } from './PlanningInput.js'
import type { PlanningMemory, VmMemory } from './PlanningMemory.js'
import type { PlanningSettings } from './PlanningSettings.js'

/** A VM as the steps of one tick see it. */
export interface VmView {
  readonly health: VmHealth
  readonly memory: VmMemory
  readonly present: boolean
  /** Present, not leaving, not drained, not straggling: it may be given a place. */
  readonly usable: boolean
  /** Came and went too often lately: it is taken only where no other VM can be had. */
  readonly damped: boolean
  /** 0 when present. */
  readonly absentForMs: number
}

/**
 * The VMs of this fabric domain, each once, under its highest incarnation: the list may name a VM twice. A VM
 * that is assigned and not named at all counts as absent from now on, since the list also leaves out live ones.
 */
export function distinctVms (input: FabricDomainInput): readonly VmHealth[] {
  const highest = new Map<VmId, VmHealth>()
  for (const health of input.vms) {
    if (health.fabricDomain !== input.fabricDomain) continue
    const known = highest.get(health.vm)
    if (known === undefined || health.incarnation > known.incarnation) highest.set(health.vm, health)
  }
  for (const group of input.assignment?.groups ?? []) {
    for (const member of [...group.members, ...group.standbys]) {
      if (!highest.has(member.vm)) highest.set(member.vm, unlisted(member, input))
    }
  }
  return [...highest.values()].sort((left, right) => compareText(left.vm, right.vm))
}

function unlisted (member: AssignedMember, input: FabricDomainInput): VmHealth {
  return {
    vm: member.vm,
    incarnation: member.incarnation,
    address: member.address,
    fabricDomain: input.fabricDomain,
    presence: VmPresence.Absent,
    absentSinceMs: null,
    status: null,
    leaving: false,
    drained: false,
    straggling: false
  }
}

export function compareText (left: string, right: string): number {
  if (left === right) return 0
  return left < right ? -1 : 1
}

/** Joins health with memory. */
export function viewVms (input: FabricDomainInput, memory: PlanningMemory): ReadonlyMap<VmId, VmView> {
  const views = new Map<VmId, VmView>()
  for (const health of distinctVms(input)) views.set(health.vm, viewVm(health, memory.vms.get(health.vm)!, input))
  return views
}

function viewVm (health: VmHealth, memory: VmMemory, input: FabricDomainInput): VmView {
  const present = health.presence === VmPresence.Present
  const damped = isDamped(memory, input.nowMs, input.settings)
  const failed = health.status?.state === EngineState.Failed
  const usable = present && !health.leaving && !health.drained && !health.straggling && !failed
  const absentForMs = memory.absentSinceMs === null ? 0 : Math.max(0, input.nowMs - memory.absentSinceMs)
  return { health, memory, present, usable, damped, absentForMs }
}

function isDamped (memory: VmMemory, nowMs: number, settings: PlanningSettings): boolean {
  if (memory.absencesMs.length < settings.flapCount) return false
  return memory.presentSinceMs === null || nowMs - memory.presentSinceMs < settings.flapHoldMs
}

/** A model at a revision: what a VM must hold to join without a load. */
export interface Weights {
  readonly model: ModelId
  readonly revision: ModelRevision
}

export function weightsKey ({ model, revision }: Weights): string {
  return JSON.stringify([model, revision.version, revision.adapters])
}

export function sameRevision (left: ModelRevision, right: ModelRevision): boolean {
  return left.version === right.version &&
    left.adapters.length === right.adapters.length &&
    left.adapters.every((adapter) => right.adapters.includes(adapter))
}

export function revisionOf (group: Pick<AssignedGroup, 'version' | 'adapters'>): ModelRevision {
  return { version: group.version, adapters: group.adapters }
}

/**
 * Whether the VM holds the weights, so that joining a formation needs no load. Where an engine doesn't say what
 * it holds, it is taken to hold what it serves, and what it was told to load long enough ago.
 */
export function holdsWeights (view: VmView, weights: Weights, input: FabricDomainInput): boolean {
  const status = view.health.status
  if (status === null || status.state === EngineState.Failed) return false
  if (status.loaded !== undefined) return status.loaded.some((loaded) => matches(loaded, weights))
  const serves = status.state !== EngineState.Loading && status.model !== null && status.version !== null &&
    matches({ model: status.model, version: status.version, adapters: status.adapters }, weights)
  const { preload } = view.memory
  return serves || (preload !== null && preload.key === weightsKey(weights) && input.nowMs - preload.sinceMs >= input.settings.loadMs)
}

function matches (loaded: LoadedModel, { model, revision }: Weights): boolean {
  return loaded.model === model &&
    loaded.version === revision.version &&
    revision.adapters.every((adapter) => loaded.adapters.includes(adapter))
}

export function toMember (view: VmView): AssignedMember {
  return { vm: view.health.vm, incarnation: view.health.incarnation, address: view.health.address }
}

/** Whether an assigned member is there as the process that was assigned. */
export function isMemberPresent (member: AssignedMember, views: ReadonlyMap<VmId, VmView>): boolean {
  const view = views.get(member.vm)
  return view !== undefined && view.present && view.health.incarnation === member.incarnation
}

export function sameMembers (left: readonly AssignedMember[], right: readonly AssignedMember[]): boolean {
  return left.length === right.length &&
    left.every((member, index) => member.vm === right[index]!.vm && member.incarnation === right[index]!.incarnation)
}
