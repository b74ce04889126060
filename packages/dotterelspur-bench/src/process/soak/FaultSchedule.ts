import { pick } from 'dotterelspur'
import type { Random } from 'dotterelspur'

export enum FaultTargetKind {
  Vm = 'vm',
  FabricDomain = 'fabric-domain',
  Platform = 'platform',
  Node = 'node'
}

/** A call of the demo's control server. */
export interface FaultOrder {
  readonly kind: string
  readonly delayMs?: number
}

/** A fault, from its start until it is reverted. */
export interface PlannedFault {
  readonly targetKind: FaultTargetKind
  /** Name of a VM or fabric domain, or index of a node; empty for the platform. */
  readonly target: string
  readonly atMs: number
  readonly clearAtMs: number
  readonly order: FaultOrder
  readonly clear: FaultOrder
}

export interface ScheduleSettings {
  readonly seed: number
  /** Times before which no fault starts, and by which all faults have been reverted. */
  readonly firstAtMs: number
  readonly lastClearAtMs: number
  /** Mean time between the starts of two faults. Faults last longer, so several are active at once. */
  readonly meanIntervalMs: number
  readonly vms: readonly string[]
  readonly fabricDomains: readonly string[]
  readonly nodes: number
}

interface FaultShape {
  readonly targetKind: FaultTargetKind
  readonly share: number
  readonly order: FaultOrder
  readonly clear: FaultOrder
  readonly lengthMs: readonly [number, number]
}

const NONE: FaultOrder = { kind: 'none' }
const RESTART: FaultOrder = { kind: 'restart' }
const RESUME: FaultOrder = { kind: 'resume' }
const LEAVE_DELAY_MS = 6_000

const SHAPES: readonly FaultShape[] = [
  { targetKind: FaultTargetKind.Vm, share: 4, order: { kind: 'kill' }, clear: RESTART, lengthMs: [3_000, 9_000] },
  { targetKind: FaultTargetKind.Vm, share: 3, order: { kind: 'pause' }, clear: RESUME, lengthMs: [1_000, 8_000] },
  { targetKind: FaultTargetKind.Vm, share: 3, order: { kind: 'restart' }, clear: NONE, lengthMs: [2_000, 4_000] },
  { targetKind: FaultTargetKind.Vm, share: 2, order: { kind: 'straggle', delayMs: 150 }, clear: NONE, lengthMs: [4_000, 8_000] },
  { targetKind: FaultTargetKind.Vm, share: 2, order: { kind: 'leave', delayMs: LEAVE_DELAY_MS }, clear: RESTART, lengthMs: [LEAVE_DELAY_MS + 2_000, LEAVE_DELAY_MS + 5_000] },
  { targetKind: FaultTargetKind.FabricDomain, share: 1, order: { kind: 'kill' }, clear: RESTART, lengthMs: [3_000, 7_000] },
  { targetKind: FaultTargetKind.FabricDomain, share: 1, order: { kind: 'pause' }, clear: RESUME, lengthMs: [2_000, 5_000] },
  { targetKind: FaultTargetKind.Platform, share: 2, order: { kind: 'down' }, clear: NONE, lengthMs: [3_000, 12_000] },
  { targetKind: FaultTargetKind.Platform, share: 1, order: { kind: 'slow', delayMs: 1_500 }, clear: NONE, lengthMs: [3_000, 8_000] },
  { targetKind: FaultTargetKind.Platform, share: 2, order: { kind: 'lose-replies' }, clear: NONE, lengthMs: [3_000, 10_000] },
  { targetKind: FaultTargetKind.Platform, share: 1, order: { kind: 'stale-reads' }, clear: NONE, lengthMs: [4_000, 10_000] },
  { targetKind: FaultTargetKind.Platform, share: 1, order: { kind: 'drop-watches' }, clear: NONE, lengthMs: [4_000, 10_000] },
  { targetKind: FaultTargetKind.Node, share: 2, order: { kind: 'kill' }, clear: RESTART, lengthMs: [3_000, 8_000] },
  { targetKind: FaultTargetKind.Node, share: 2, order: { kind: 'pause' }, clear: RESUME, lengthMs: [1_500, 9_000] },
  { targetKind: FaultTargetKind.Node, share: 2, order: { kind: 'isolate' }, clear: NONE, lengthMs: [4_000, 14_000] },
  { targetKind: FaultTargetKind.Node, share: 2, order: { kind: 'drain' }, clear: RESTART, lengthMs: [6_000, 12_000] }
]

/** Node faults leave at least half of the nodes unaffected. */
function nodesAtOnce (nodes: number): number {
  return Math.max(1, Math.floor((nodes - 1) / 2))
}

/** Draws overlapping faults, the same for the same seed. A target has one fault at a time. */
export function planFaults (settings: ScheduleSettings, random: Random): PlannedFault[] {
  const planned: PlannedFault[] = []
  let atMs = settings.firstAtMs
  while (atMs < settings.lastClearAtMs) {
    const fault = drawFault(settings, atMs, planned, random)
    if (fault !== undefined) planned.push(fault)
    atMs += -Math.log(1 - random.next()) * settings.meanIntervalMs
  }
  return planned
}

function drawFault (settings: ScheduleSettings, atMs: number, planned: readonly PlannedFault[], random: Random): PlannedFault | undefined {
  const shape = drawShape(random)
  const target = drawTarget(shape.targetKind, settings, random)
  const [shortest, longest] = shape.lengthMs
  const clearAtMs = atMs + shortest + random.next() * (longest - shortest)
  if (target === undefined || clearAtMs > settings.lastClearAtMs) return undefined
  const fault: PlannedFault = { targetKind: shape.targetKind, target, atMs, clearAtMs, order: shape.order, clear: shape.clear }
  const acting = planned.filter((other) => other.clearAtMs >= atMs)
  if (acting.some((other) => other.targetKind === fault.targetKind && other.target === fault.target)) return undefined
  const nodesActing = acting.filter((other) => other.targetKind === FaultTargetKind.Node).length
  if (fault.targetKind === FaultTargetKind.Node && nodesActing >= nodesAtOnce(settings.nodes)) return undefined
  return fault
}

function drawShape (random: Random): FaultShape {
  let left = random.next() * SHAPES.reduce((sum, shape) => sum + shape.share, 0)
  for (const shape of SHAPES) {
    left -= shape.share
    if (left <= 0) return shape
  }
  return SHAPES[0]!
}

function drawTarget (kind: FaultTargetKind, settings: ScheduleSettings, random: Random): string | undefined {
  if (kind === FaultTargetKind.Platform) return ''
  if (kind === FaultTargetKind.Node) return String(random.integer(settings.nodes))
  return pick(random, kind === FaultTargetKind.Vm ? settings.vms : settings.fabricDomains)
}
