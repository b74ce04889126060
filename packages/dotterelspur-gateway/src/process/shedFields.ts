import { ShedReason, type CallerLoad } from 'dotterelspur'
import type { LogFields } from './DecisionLog.js'

/** What a log line says of connections that were closed because of a limit: how many for each reason since the start, and what is held. */
export function shedFields (load: CallerLoad): LogFields {
  const shed = Object.fromEntries(Object.values(ShedReason).map((reason) => [reason, load.shedCount(reason)]))
  return { shed, connections: load.connections, heldBytes: load.heldBytes, limitBytes: load.limits.heldBytes, maxConnections: load.limits.connections }
}
