import { success } from 'dotterelspur'
import type { Command, CommandArguments, CommandOutput } from '../process/Command.js'
import type { Steps } from '../process/CommandEffects.js'
import { ExitCode } from '../process/ExitCode.js'
import { evacuationHistory, type EvacuationSummary } from './evacuationHistory.js'
import { readLogFiles } from './readLogFiles.js'
import { formatTable, formatTime, type Cell } from './tables.js'

export const EVACUATION_COMMANDS: readonly Command[] = [
  {
    usage: 'evacuations [logs..]',
    description: 'show the evacuations of failure domains from log files, or from standard input',
    positionals: { logs: 'files of log lines of all nodes; "-" or none is standard input' },
    options: {},
    run: showEvacuations
  }
]

const HEAD = ['failure domain', 'begun', 'ended', 'nodes', 'in force on', 'last request ended', 'requests left on']

function * showEvacuations ({ logs }: CommandArguments): Steps<CommandOutput> {
  const text = yield * readLogFiles(logs)
  if (!text.ok) return text
  const history = evacuationHistory(text.value)
  const notes = history.unreadable === 0 ? [] : [`${history.unreadable} lines could not be read`]
  if (history.evacuations.length === 0) return success({ data: history, text: ['no line tells of an evacuation', ...notes].join('\n'), exitCode: ExitCode.NotFound })
  return success({ data: history, text: [formatTable(HEAD, history.evacuations.map(rowOf)), ...notes].join('\n'), exitCode: ExitCode.Done })
}

function rowOf ({ failureDomain, begunMs, endedMs, nodes, inForce, lastRequestMs, draining }: EvacuationSummary): Cell[] {
  return [failureDomain, formatTime(begunMs), endedMs === null ? null : formatTime(endedMs), nodes, inForce, lastRequestMs === null ? null : formatTime(lastRequestMs), draining]
}
