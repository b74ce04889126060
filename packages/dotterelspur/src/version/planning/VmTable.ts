import type { VmId } from '../../process/ids.js'
import { EngineState } from '../../process/Presence.js'
import type { AssignedMember } from '../PlatformObjects.js'
import type { FabricDomainInput, PlannedIntent, VmHealth } from './PlanningInput.js'
import { VmPresence } from './PlanningInput.js'
import type { PlanningMemory, VmMemory } from './PlanningMemory.js'
import type { PlanningSettings } from './PlanningSettings.js'

/** A VM as the steps of one tick see it. */
export interface VmView {
  readonly health: VmHealth
  readonly memory: VmMemory
  readonly present: boolean
  /** Present, not leaving, not drained, not damped, not straggling: it may be given a place. */
  readonly usable: boolean
  readonly damped: boolean
  /** 0 when present. */
  readonly absentForMs: number
}

/** The VMs of this fabric domain, each once, under its highest incarnation: the list may name a VM twice. */
export function distinctVms (input: FabricDomainInput): readonly VmHealth[] {
  const highest = new Map<VmId, VmHealth>()
  for (const health of input.vms) {
    if (health.fabricDomain !== input.fabricDomain) continue
    const known = highest.get(health.vm)
    if (known === undefined || health.incarnation > known.incarnation) highest.set(health.vm, health)
  }
  return [...highest.values()].sort((left, right) => compareText(left.vm, right.vm))
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
  const usable = present && !health.leaving && !health.drained && !health.straggling && !damped && !failed
  const absentForMs = memory.absentSinceMs === null ? 0 : Math.max(0, input.nowMs - memory.absentSinceMs)
  return { health, memory, present, usable, damped, absentForMs }
}

function isDamped (memory: VmMemory, nowMs: number, settings: PlanningSettings): boolean {
  if (memory.absencesMs.length < settings.flapCount) return false
  return memory.presentSinceMs === null || nowMs - memory.presentSinceMs < settings.flapHoldMs
}

/** Whether the VM holds the intent's weights, so that joining a formation needs no load. */
export function holdsRevision (view: VmView, intent: PlannedIntent): boolean {
  const status = view.health.status
  if (status === null || status.state === EngineState.Loading || status.state === EngineState.Failed) return false
  return status.model === intent.model &&
    status.version === intent.revision.version &&
    intent.revision.adapters.every((adapter) => status.adapters.includes(adapter))
}

export function memberOf (view: VmView): AssignedMember {
  return { vm: view.health.vm, incarnation: view.health.incarnation, address: view.health.address }
}

/** Whether an assigned member is there as the process that was assigned. */
export function isMemberPresent (member: AssignedMember, views: ReadonlyMap<VmId, VmView>): boolean {
  const view = views.get(member.vm)
  return view !== undefined && view.present && view.health.incarnation === member.incarnation
}
