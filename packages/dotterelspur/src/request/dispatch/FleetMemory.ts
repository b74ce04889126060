import { NO_DEADLINES_OBSERVED, type DeadlineObservation } from './DeadlineObservation.js'
import type { FirstEventSample, FleetObservation } from './FleetObservation.js'
import type { ModelId } from '../../process/ids.js'

/**
 * What the fleet has learned and what a node that starts can't see for itself in time. The load that this answers: all nodes start
 * anew, and callers that lost them come back together with those that come first.
 */
export interface FleetMemory {
  readonly deadlines: DeadlineObservation
  readonly firstEvents: Readonly<Record<ModelId, FirstEventSample>>
}

export const EMPTY_MEMORY: FleetMemory = { deadlines: NO_DEADLINES_OBSERVED, firstEvents: {} }

/** Routes that are remembered: those that most nodes have told of. */
const MAX_ROUTES = 16

/** What is remembered after all nodes have told what they see: what nobody sees at the moment stays as it was. */
export function updateFleetMemory (memory: FleetMemory, { deadlines, firstEvents }: Pick<FleetObservation, 'deadlines' | 'firstEvents'>): FleetMemory {
  const usual = Object.entries({ ...memory.deadlines.usual, ...deadlines.usual })
  const kept = usual.sort(([, left], [, right]) => right.nodes - left.nodes).slice(0, MAX_ROUTES)
  return {
    deadlines: { usual: Object.fromEntries(kept), leastShare: deadlines.leastShare.nodes > 0 ? deadlines.leastShare : memory.deadlines.leastShare },
    firstEvents: { ...memory.firstEvents, ...firstEvents }
  }
}

/** Reads a memory that others have written; null where it is none. */
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
