import { failed, success } from 'dotterelspur'
import type { Command, CommandArguments, CommandOutput } from '../process/Command.js'
import type { Steps } from '../process/CommandEffects.js'
import { CommandErrorKind } from '../process/CommandError.js'
import { ExitCode } from '../process/ExitCode.js'
import { budgetHistory, type NodeBudget, type ServiceBudget } from './budgetHistory.js'
import { readLogFiles } from './readLogFiles.js'
import { formatTable, formatTime, type Cell } from './tables.js'

export const BUDGET_COMMANDS: readonly Command[] = [
  {
    usage: 'budgets [logs..]',
    description: 'show the nodes\' parts of the retry budget and what they used of it from log files, or from standard input',
    positionals: { logs: 'files of log lines of all nodes; "-" or none is standard input' },
    options: { until: { type: 'string', requiresArg: true, describe: 'leave out lines after this time, such as 2026-12-03T10:00:05Z. Default: none' } },
    run: showBudgets
  }
]

const HEAD = ['node', 'part', 'members', 'listed', 'list age ms', 'part since', 'last line', 'service', 'requests', 'retries', 'refused', 'at', 'most retries', 'with part', 'at']
/** Parts are logged with four digits. */
const ROUNDING = 0.00005

function * showBudgets ({ logs, until }: CommandArguments): Steps<CommandOutput> {
  const untilMs = until === undefined ? Infinity : Date.parse(String(until))
  if (Number.isNaN(untilMs)) return failed({ kind: CommandErrorKind.Usage, message: `--until: "${String(until)}" is no time; accepted: 2026-12-03T10:00:05Z` })
  const text = yield * readLogFiles(logs)
  if (!text.ok) return text
  const { nodes, unreadable } = budgetHistory(text.value, untilMs)
  const parts = nodes.reduce((sum, { part }) => sum + (part ?? 0), 0)
  const data = { nodes, parts: Number(parts.toFixed(4)), unreadable }
  const notes = unreadable === 0 ? [] : [`${unreadable} lines could not be read`]
  if (nodes.length === 0) return success({ data, text: ['no line tells of a retry budget', ...notes].join('\n'), exitCode: ExitCode.NotFound })
  const excess = parts > 1 + nodes.length * ROUNDING ? ', more than the whole: see which of these nodes still ran' : ''
  return success({ data, text: [formatTable(HEAD, nodes.flatMap(rowsOf)), `last parts together: ${data.parts}${excess}`, ...notes].join('\n'), exitCode: ExitCode.Done })
}

/** A row for each service, or one where the node has used nothing. */
function rowsOf ({ node, part, members, listed, listAgeMs, partSinceMs, lastLineMs, services }: NodeBudget): Cell[][] {
  const cells: Cell[] = [node, part, members, listed, listAgeMs, partSinceMs === null ? null : formatTime(partSinceMs), formatTime(lastLineMs)]
  if (services.length === 0) return [[...cells, null, null, null, null, null, null, null, null]]
  return services.map((service) => [...cells, ...cellsOf(service)])
}

function cellsOf ({ service, last, most, refused }: ServiceBudget): Cell[] {
  return [service, last.requests, last.retries, refused, formatTime(last.atMs), most.retries, most.part, formatTime(most.atMs)]
}
