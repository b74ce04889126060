import { readLogLines, type LogLine } from './readLogLines.js'

/** What a node has counted of a service within a window of the retry budget, when it wrote a line. */
export interface WindowCount {
  /** As wall time. */
  readonly atMs: number
  readonly requests: number
  readonly retries: number
  /** The node's part of the extra by which it decided. */
  readonly part: number | null
}

export interface ServiceBudget {
  readonly service: string
  readonly last: WindowCount
  /** The line with the most retries. */
  readonly most: WindowCount
  /** Retries that the budget did not allow, over all lines. */
  readonly refused: number
}

/**
 * The retry budget of a node, as its log shows it: the part of its last process, which logs it just before its `start`, and what all its
 * processes used.
 */
export interface NodeBudget {
  readonly node: string
  /** The last part, 0 to 1, and the nodes by which it was divided; null where no line tells. */
  readonly part: number | null
  readonly members: number | null
  readonly listed: number | null
  /** Age of the list of nodes then; null before the first one. */
  readonly listAgeMs: number | null
  /** Since when the part is this one. */
  readonly partSinceMs: number | null
  /** The last line of any kind: a process that was killed writes no more, and its part stays as it was. */
  readonly lastLineMs: number
  readonly services: readonly ServiceBudget[]
}

export interface BudgetHistory {
  readonly nodes: readonly NodeBudget[]
  readonly unreadable: number
}

interface NodeState {
  part: Pick<NodeBudget, 'part' | 'members' | 'listed' | 'listAgeMs' | 'partSinceMs'>
  lastLineMs: number
  readonly services: Map<string, ServiceBudget>
}

type LineHandler = (state: NodeState, line: LogLine) => void

const NO_PART: NodeState['part'] = { part: null, members: null, listed: null, listAgeMs: null, partSinceMs: null }

const HANDLERS: Readonly<Record<string, LineHandler>> = {
  'budget-part': (state, { timeMs, fields }) => {
    state.part = { part: numberOf(fields['part']), members: numberOf(fields['members']), listed: numberOf(fields['listed']), listAgeMs: numberOf(fields['viewAgeMs']), partSinceMs: timeMs }
  },
  'retry-budget': (state, { timeMs, fields }) => {
    const service = String(fields['service'])
    const last: WindowCount = { atMs: timeMs, requests: numberOf(fields['requests']) ?? 0, retries: numberOf(fields['retries']) ?? 0, part: numberOf(fields['part']) }
    const before = state.services.get(service)
    const most = before === undefined || last.retries > before.most.retries ? last : before.most
    state.services.set(service, { service, last, most, refused: (before?.refused ?? 0) + (numberOf(fields['refused']) ?? 0) })
  }
}

/** Gathers the parts of the retry budget, and what was used of it, from the log lines of all nodes up to a time. */
export function budgetHistory (text: string, untilMs = Infinity): BudgetHistory {
  const { lines, unreadable } = readLogLines(text)
  const states = new Map<string, NodeState>()
  for (const line of lines) {
    if (line.timeMs > untilMs) break
    const state = states.get(line.node) ?? { part: NO_PART, lastLineMs: line.timeMs, services: new Map<string, ServiceBudget>() }
    states.set(line.node, state)
    state.lastLineMs = line.timeMs
    if (Object.hasOwn(HANDLERS, line.event)) HANDLERS[line.event]!(state, line)
  }
  const nodes = [...states].map(([node, { part, lastLineMs, services }]): NodeBudget => ({ node, ...part, lastLineMs, services: [...services.values()].sort(byService) }))
  return { nodes: nodes.filter(({ partSinceMs, services }) => partSinceMs !== null || services.length > 0).sort(byNode), unreadable }
}

function byService (left: ServiceBudget, right: ServiceBudget): number {
  return left.service < right.service ? -1 : 1
}

function byNode (left: NodeBudget, right: NodeBudget): number {
  return left.node < right.node ? -1 : 1
}

function numberOf (value: unknown): number | null {
  return typeof value === 'number' ? value : null
}
