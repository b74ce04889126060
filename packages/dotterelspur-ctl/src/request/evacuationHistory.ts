import { readLogLines, type LogLine } from './readLogLines.js'

/** One evacuation of a failure domain, as the logs of all nodes show it. */
export interface EvacuationSummary {
  readonly failureDomain: string
  /** When the first node learned of it, as wall time. */
  readonly begunMs: number
  /** When the last node learned of its end; null while it is in force on a node. */
  readonly endedMs: number | null
  /** Nodes that learned of it. */
  readonly nodes: number
  /** Nodes on which it is in force at the end of the logs; a node that crashed counts until it starts again. */
  readonly inForce: number
  /** When the last request there ended; null if none was running on any node. */
  readonly lastRequestMs: number | null
  /** Nodes on which requests there were still running at the end of the logs. */
  readonly draining: number
}

export interface EvacuationHistory {
  readonly evacuations: readonly EvacuationSummary[]
  readonly unreadable: number
}

interface Evacuation {
  readonly failureDomain: string
  readonly begunMs: number
  /** Null until a node has learned of the end. */
  lastEndMs: number | null
  lastRequestMs: number | null
  readonly nodes: Set<string>
  readonly inForce: Set<string>
  readonly draining: Set<string>
}

type LineHandler = (evacuations: Evacuation[], line: LogLine) => void

const HANDLERS: Readonly<Record<string, LineHandler>> = {
  'evacuation-begun': begin,
  'evacuation-ended': (evacuations, line) => {
    const evacuation = findInForce(evacuations, line)
    if (evacuation === undefined) return
    evacuation.inForce.delete(line.node)
    evacuation.draining.delete(line.node)
    evacuation.lastEndMs = line.timeMs
  },
  'evacuation-drained': (evacuations, line) => {
    const evacuation = evacuations.findLast(({ failureDomain, draining }) => failureDomain === line.fields['failureDomain'] && draining.has(line.node))
    if (evacuation === undefined) return
    evacuation.draining.delete(line.node)
    if (typeof line.fields['lastRequestMs'] === 'number') evacuation.lastRequestMs = line.timeMs
  },
  // A process that starts has no requests, and learns of the evacuations anew.
  start: (evacuations, { node }) => {
    for (const { nodes, inForce, draining } of evacuations) {
      if (inForce.delete(node)) nodes.delete(node)
      draining.delete(node)
    }
  },
  // A process that stops still completes its running requests.
  stop: (evacuations, { node }) => {
    for (const { inForce } of evacuations) inForce.delete(node)
  }
}

/** Gathers the evacuations of failure domains from the log lines of all nodes, in the sequence of their begin. */
export function evacuationHistory (text: string): EvacuationHistory {
  const { lines, unreadable } = readLogLines(text)
  const evacuations: Evacuation[] = []
  for (const line of lines) if (Object.hasOwn(HANDLERS, line.event)) HANDLERS[line.event]!(evacuations, line)
  return { evacuations: evacuations.map(summarize), unreadable }
}

function begin (evacuations: Evacuation[], line: LogLine): void {
  const failureDomain = String(line.fields['failureDomain'])
  const latest = evacuations.findLast((evacuation) => evacuation.failureDomain === failureDomain)
  const evacuation = latest !== undefined && latest.inForce.size > 0 && !hasEndedOn(latest, line.node) ? latest : createEvacuation(failureDomain, line.timeMs)
  if (evacuation !== latest) evacuations.push(evacuation)
  for (const nodes of [evacuation.nodes, evacuation.inForce, evacuation.draining]) nodes.add(line.node)
}

function createEvacuation (failureDomain: string, begunMs: number): Evacuation {
  return { failureDomain, begunMs, lastEndMs: null, lastRequestMs: null, nodes: new Set(), inForce: new Set(), draining: new Set() }
}

function hasEndedOn ({ nodes, inForce }: Evacuation, node: string): boolean {
  return nodes.has(node) && !inForce.has(node)
}

function findInForce (evacuations: readonly Evacuation[], { node, fields }: LogLine): Evacuation | undefined {
  return evacuations.findLast(({ failureDomain, inForce }) => failureDomain === fields['failureDomain'] && inForce.has(node))
}

function summarize ({ failureDomain, begunMs, lastEndMs, lastRequestMs, nodes, inForce, draining }: Evacuation): EvacuationSummary {
  return { failureDomain, begunMs, endedMs: inForce.size > 0 ? null : lastEndMs, nodes: nodes.size, inForce: inForce.size, lastRequestMs, draining: draining.size }
}
