import type { ModelId, VmId } from '../../process/ids.js'
import { EngineState } from '../../process/Presence.js'
import type { LoadedModel } from '../../process/Presence.js'
import type { AssignedGroup, AssignedMember, ModelRevision } from '../PlatformObjects.js'
import type { FabricDomainInput, VmHealth } from './PlanningInput.js'
import { VmPresence } from './PlanningInput.js'
import type { PlanningMemory, VmMemory } from './PlanningMemory.js'
import type { PlanningSettings } from './PlanningSettings.js'

/** A VM's health and memory, prepared for the steps of one tick. */
export interface VmView {
  readonly health: VmHealth
  readonly memory: VmMemory
  readonly present: boolean
  /** Present, and not leaving, drained, straggling or failed: it may be assigned to a group. */
  readonly usable: boolean
  /** It went absent too often lately, so it is chosen only if no other VM is available. */
  readonly damped: boolean
  /** 0 when present. */
  readonly absentForMs: number
}

/**
 * The VMs of this fabric domain, each once with its highest incarnation, since the list may name a VM twice. An assigned VM
 * that is not listed counts as absent from now on rather than as lost, since the list may also omit running VMs.
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

/** Combines the health and the memory of each VM. */
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

/** A model revision that a VM must hold in order to join without a load. */
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
 * Whether the VM holds the weights, so that joining a formation needs no load. An engine that does not report its loaded
 * models is assumed to hold the one that it serves, and the one that it was ordered to load at least `loadMs` ago.
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

/** Whether an assigned member is present in the assigned incarnation. */
export function isMemberPresent (member: AssignedMember, views: ReadonlyMap<VmId, VmView>): boolean {
  const view = views.get(member.vm)
  return view !== undefined && view.present && view.health.incarnation === member.incarnation
}

export function sameMembers (left: readonly AssignedMember[], right: readonly AssignedMember[]): boolean {
  return left.length === right.length &&
    left.every((member, index) => member.vm === right[index]!.vm && member.incarnation === right[index]!.incarnation)
}
