import createDebug from 'debug'
import type { FailureDomainId, NodeId } from 'dotterelspur'

/** Writes one line for one change of state. */
export type LogLine = (message: string, ...details: readonly unknown[]) => void

export enum LogArea {
  Node = 'node',
  Mesh = 'mesh',
  Fleet = 'fleet',
  Entry = 'entry',
  Platform = 'platform',
  Settings = 'settings'
}

/**
 * Turns on the project's lines unless the operator has chosen by the DEBUG variable. Lines go to standard error.
 */
export function enableDefaultLog (): void {
  if (process.env['DEBUG'] === undefined) createDebug.enable('dotterelspur:*')
}

/** Lines of one area, each with the node and its failure domain. Lines are for changes of state; what happens often is counted. */
export function createLog (area: LogArea, node: NodeId, failureDomain: FailureDomainId): LogLine {
  const write = createDebug(`dotterelspur:${area}`)
  return (message, ...details) => { write(`node=${node} domain=${failureDomain} ${message}`, ...details) }
}
