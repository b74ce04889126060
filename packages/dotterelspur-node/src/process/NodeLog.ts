import createDebug from 'debug'
import type { FailureDomainId, NodeId } from 'dotterelspur'

/** Writes one log line for one state change. */
export type LogLine = (message: string, ...details: readonly unknown[]) => void

/** Enables all `dotterelspur:*` log namespaces unless the operator has set the DEBUG variable. Lines go to standard error. */
export function enableDefaultLog (): void {
  if (process.env['DEBUG'] === undefined) createDebug.enable('dotterelspur:*')
}

/**
 * The node's own log lines, each with the node and its failure domain. Only state changes are logged; frequent
 * events are counted in metrics instead.
 */
export class NodeLogs {
  readonly node: LogLine

  constructor (node: NodeId, failureDomain: FailureDomainId) {
    this.node = createLine('node', node, failureDomain)
  }
}

function createLine (area: string, node: NodeId, failureDomain: FailureDomainId): LogLine {
  const write = createDebug(`dotterelspur:${area}`)
  return (message, ...details) => { write(`node=${node} domain=${failureDomain} ${message}`, ...details) }
}
