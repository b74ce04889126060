import { NO_DEADLINES_OBSERVED, type DeadlineObservation } from './DeadlineObservation.js'
import type { FirstEventSample, FleetObservation } from './FleetObservation.js'
import type { ModelId } from '../../process/ids.js'

/**
 * Observations of the fleet that a starting node cannot make by itself in time. They matter when all nodes restart at
 * once: the callers that lost them retry at the same time as other callers send their first attempts.
 */
export interface FleetMemory {
  readonly deadlines: DeadlineObservation
  readonly firstEvents: Readonly<Record<ModelId, FirstEventSample>>
}

export const EMPTY_MEMORY: FleetMemory = { deadlines: NO_DEADLINES_OBSERVED, firstEvents: {} }

/** Routes that are kept: those reported by most nodes. */
const MAX_ROUTES = 16

/** The memory after another round of observations: entries that no node observes at the moment stay as they were. */
export function updateFleetMemory (memory: FleetMemory, { deadlines, firstEvents }: Pick<FleetObservation, 'deadlines' | 'firstEvents'>): FleetMemory {
  const usual = Object.entries({ ...memory.deadlines.usual, ...deadlines.usual })
  const kept = usual.sort(([, left], [, right]) => right.nodes - left.nodes).slice(0, MAX_ROUTES)
  return {
    deadlines: { usual: Object.fromEntries(kept), leastShare: deadlines.leastShare.nodes > 0 ? deadlines.leastShare : memory.deadlines.leastShare },
    firstEvents: { ...memory.firstEvents, ...firstEvents }
  }
}

/** Parses a memory written by another process; null where it is malformed. */
export function readFleetMemory (written: unknown): FleetMemory | null {
  const { deadlines, firstEvents } = fieldsOf(written)
  const { usual, leastShare } = fieldsOf(deadlines)
  const parts = [...Object.values(fieldsOf(usual)), ...Object.values(fieldsOf(firstEvents)), leastShare]
  const isValid = isRecord(usual) && isRecord(firstEvents) && parts.every((part) => isRecord(part) && Object.values(part).every(isCount))
  return isValid ? written as FleetMemory : null
}

function fieldsOf (value: unknown): Readonly<Record<string, unknown>> {
  return isRecord(value) ? value : {}
}

function isRecord (value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function isCount (value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}
