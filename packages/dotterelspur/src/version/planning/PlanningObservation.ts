import type { VmId } from '../../process/ids.js'
import type { FabricDomainInput, VmHealth } from './PlanningInput.js'
import { VmPresence } from './PlanningInput.js'
import type { PlanningMemory, VmMemory } from './PlanningMemory.js'
import { distinctVms } from './VmTable.js'

const KEPT_RETURN_TIMES = 64
const KEPT_ABSENCES = 16
const MINUTE_MS = 60_000

/** Takes a tick's readings into the memory: absences, returns and the load budget that has come free. */
export function observe (input: FabricDomainInput): PlanningMemory {
  const vms = new Map<VmId, VmMemory>()
  const returned: number[] = []
  for (const health of distinctVms(input)) {
    const before = input.memory.vms.get(health.vm)
    const after = observeVm(health, before, input)
    vms.set(health.vm, after)
    if (before?.absentSinceMs != null && after.present) returned.push(input.nowMs - before.absentSinceMs)
  }
  return {
    ...input.memory,
    vms,
    loadTokens: refilledTokens(input),
    loadTokensAtMs: input.nowMs,
    returnTimesMs: [...input.memory.returnTimesMs, ...returned].slice(-KEPT_RETURN_TIMES)
  }
}

function observeVm (health: VmHealth, before: VmMemory | undefined, input: FabricDomainInput): VmMemory {
  const absencesMs = recentAbsences(before, input)
  if (health.presence === VmPresence.Present) return presentMemory(health, before, absencesMs, input.nowMs)
  if (health.presence === VmPresence.Unknown && before === undefined) {
    return { incarnation: health.incarnation, present: false, presentSinceMs: null, absentSinceMs: null, absencesMs }
  }
  if (health.presence === VmPresence.Unknown) return { ...before!, absencesMs }
  const absentSinceMs = before?.absentSinceMs ?? health.absentSinceMs ?? input.nowMs
  const wentAbsent = before?.present === true
  return {
    incarnation: health.incarnation,
    present: false,
    presentSinceMs: null,
    absentSinceMs,
    absencesMs: wentAbsent ? [...absencesMs, input.nowMs].slice(-KEPT_ABSENCES) : absencesMs
  }
}

function presentMemory (health: VmHealth, before: VmMemory | undefined, absencesMs: readonly number[], nowMs: number): VmMemory {
  const restartedUnseen = before !== undefined && before.present && before.incarnation < health.incarnation
  const stayed = before !== undefined && before.present && !restartedUnseen
  return {
    incarnation: health.incarnation,
    present: true,
    presentSinceMs: stayed ? before.presentSinceMs : nowMs,
    absentSinceMs: null,
    absencesMs: restartedUnseen ? [...absencesMs, nowMs].slice(-KEPT_ABSENCES) : absencesMs
  }
}

function recentAbsences (before: VmMemory | undefined, input: FabricDomainInput): readonly number[] {
  const oldestMs = input.nowMs - input.settings.flapWindowMs
  const kept = before?.absencesMs ?? []
  return kept.length > 0 && kept[0]! < oldestMs ? kept.filter((atMs) => atMs >= oldestMs) : kept
}

function refilledTokens (input: FabricDomainInput): number {
  const { loadTokens, loadTokensAtMs } = input.memory
  const { burst, loadsPerMinute } = input.loadBudget
  if (loadTokensAtMs === null) return burst
  const refill = (input.nowMs - loadTokensAtMs) * loadsPerMinute / MINUTE_MS
  return Math.min(burst, loadTokens + Math.max(0, refill))
}
