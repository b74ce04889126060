import type { VmId } from '../../process/ids.js'
import type { FabricDomainInput, VmHealth } from './PlanningInput.js'
import { VmPresence } from './PlanningInput.js'
import type { PlanningMemory, ReturnSample, VmMemory } from './PlanningMemory.js'
import { distinctVms } from './VmTable.js'

const MAX_RETURN_SAMPLES = 64
const MAX_ABSENCES = 16
const MINUTE_MS = 60_000

const UNOBSERVED: Omit<VmMemory, 'incarnation'> = { present: false, presentSinceMs: null, absentSinceMs: null, absencesMs: [], preload: null }

/** Updates the planning memory with a tick's observations: absences, how they ended, a dark fabric domain, and the refilled load budget. */
export function observe (input: FabricDomainInput): PlanningMemory {
  const vms = new Map<VmId, VmMemory>()
  const ended: ReturnSample[] = []
  for (const health of distinctVms(input)) {
    const before = input.memory.vms.get(health.vm)
    const after = observeVm(health, before, input)
    vms.set(health.vm, after)
    const sample = endedAbsence(before, after, input.nowMs)
    if (sample !== null) ended.push(sample)
  }
  return {
    ...input.memory,
    vms,
    darkSinceMs: observeDarkness(vms, input),
    loadTokens: refilledTokens(input),
    loadTokensAtMs: input.nowMs,
    returns: [...input.memory.returns, ...ended].slice(-MAX_RETURN_SAMPLES)
  }
}

type PresenceHandler = (health: VmHealth, before: VmMemory | undefined, absencesMs: readonly number[], input: FabricDomainInput) => VmMemory

const BY_PRESENCE: Readonly<Record<VmPresence, PresenceHandler>> = {
  [VmPresence.Present]: observePresent,
  [VmPresence.Absent]: observeAbsent,
  [VmPresence.Unknown]: observeUnknown
}

function observeVm (health: VmHealth, before: VmMemory | undefined, input: FabricDomainInput): VmMemory {
  return BY_PRESENCE[health.presence](health, before, recentAbsences(before, input), input)
}

function observePresent (health: VmHealth, before: VmMemory | undefined, absencesMs: readonly number[], input: FabricDomainInput): VmMemory {
  const sameProcess = before !== undefined && before.incarnation === health.incarnation
  const missedRestart = before !== undefined && before.present && !sameProcess
  const wasPresent = sameProcess && before.present
  return {
    incarnation: health.incarnation,
    present: true,
    presentSinceMs: wasPresent ? before.presentSinceMs : input.nowMs,
    absentSinceMs: null,
    absencesMs: missedRestart ? [...absencesMs, input.nowMs].slice(-MAX_ABSENCES) : absencesMs,
    preload: sameProcess ? before.preload : null
  }
}

function observeAbsent (health: VmHealth, before: VmMemory | undefined, absencesMs: readonly number[], input: FabricDomainInput): VmMemory {
  const wentAbsent = before?.present === true
  return {
    incarnation: before?.incarnation ?? health.incarnation,
    present: false,
    presentSinceMs: null,
    absentSinceMs: before?.absentSinceMs ?? health.absentSinceMs ?? input.nowMs,
    absencesMs: wentAbsent ? [...absencesMs, input.nowMs].slice(-MAX_ABSENCES) : absencesMs,
    preload: before?.preload ?? null
  }
}

function observeUnknown (health: VmHealth, before: VmMemory | undefined, absencesMs: readonly number[]): VmMemory {
  return before === undefined ? { ...UNOBSERVED, incarnation: health.incarnation } : { ...before, absencesMs }
}

function endedAbsence (before: VmMemory | undefined, after: VmMemory, nowMs: number): ReturnSample | null {
  if (before === undefined || before.absentSinceMs === null || !after.present) return null
  return { awayMs: nowMs - before.absentSinceMs, restarted: after.incarnation !== before.incarnation }
}

function recentAbsences (before: VmMemory | undefined, input: FabricDomainInput): readonly number[] {
  const oldestMs = input.nowMs - input.settings.flapWindowMs
  const kept = before?.absencesMs ?? []
  return kept.length > 0 && kept[0]! < oldestMs ? kept.filter((atMs) => atMs >= oldestMs) : kept
}

/**
 * Detects a dark fabric domain: when a large share of its VMs is absent at once, its switch or power has failed rather than
 * the VMs. Repairs while further VMs are still going absent or coming back would form groups that break again.
 */
function observeDarkness (vms: ReadonlyMap<VmId, VmMemory>, input: FabricDomainInput): number | null {
  const vmMemories = [...vms.values()]
  const absent = vmMemories.filter((vm) => vm.absentSinceMs !== null).length
  const { darkShare, darkCount } = input.settings
  if (absent < Math.max(darkCount, vmMemories.length * darkShare)) return null
  return input.memory.darkSinceMs ?? input.nowMs
}

/** Whether changes of groups are held because the fabric domain went dark less than `darkHoldMs` ago. */
export function isHeldWhileDark (memory: PlanningMemory, input: FabricDomainInput): boolean {
  return memory.darkSinceMs !== null && input.nowMs - memory.darkSinceMs < input.settings.darkHoldMs
}

function refilledTokens (input: FabricDomainInput): number {
  const { loadTokens, loadTokensAtMs } = input.memory
  const { burst, loadsPerMinute } = input.loadBudget
  if (loadTokensAtMs === null) return burst
  const refill = (input.nowMs - loadTokensAtMs) * loadsPerMinute / MINUTE_MS
  return Math.min(burst, loadTokens + Math.max(0, refill))
}
