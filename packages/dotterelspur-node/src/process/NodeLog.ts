import createDebug from 'debug'
import type { FailureDomainId, NodeId } from 'dotterelspur'

/** Writes one line for one change of state. */
export type LogLine = (message: string, ...details: readonly unknown[]) => void

/**
 * Turns on the project's lines unless the operator has chosen by the DEBUG variable. Lines go to standard error.
 */
export function enableDefaultLog (): void {
  if (process.env['DEBUG'] === undefined) createDebug.enable('dotterelspur:*')
}

/** The node's own lines, each with the node and its failure domain. Lines are for changes of state; what happens often is counted. */
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
