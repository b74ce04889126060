import { success } from 'dotterelspur'
import type { Command, CommandArguments, CommandOutput } from '../process/Command.js'
import type { Steps } from '../process/CommandEffects.js'
import { ExitCode } from '../process/ExitCode.js'
import { readLogFiles } from './readLogFiles.js'
import { traceStory, StoryRole, type StoryLine } from './traceStory.js'

const SECOND_MS = 1_000

const MARKS: Readonly<Record<StoryRole, string>> = { [StoryRole.Subject]: '>', [StoryRole.Met]: ' ', [StoryRole.Known]: '.' }

export const TRACE_COMMANDS: readonly Command[] = [
  {
    usage: 'trace <id> [logs..]',
    description: 'tell the story of a request, an endpoint or a group from log files, or from standard input',
    positionals: { id: 'the id of a request, an endpoint or a group', logs: 'files of log lines of all nodes; "-" or none is standard input' },
    options: {},
    run: trace
  }
]

function * trace ({ id, logs }: CommandArguments): Steps<CommandOutput> {
  const text = yield * readLogFiles(logs)
  if (!text.ok) return text
  const story = traceStory(text.value, String(id))
  if (story.lines.length === 0) return success({ data: story, text: `no line names ${String(id)}; ${story.unreadable} lines could not be read`, exitCode: ExitCode.NotFound })
  const baseMs = story.lines.find(({ role }) => role === StoryRole.Subject)!.line.timeMs
  const notes = story.unreadable === 0 ? [] : [`${story.unreadable} lines could not be read`]
  const lines = ['seconds from the first line that names it; > names it, . is what was known before', ...story.lines.map((line) => describe(line, baseMs)), ...notes]
  return success({ data: story, text: lines.join('\n'), exitCode: ExitCode.Done })
}

function describe ({ line, role }: StoryLine, baseMs: number): string {
  const seconds = ((line.timeMs - baseMs) / SECOND_MS).toFixed(3).padStart(9)
  const fields = Object.entries(line.fields).map(([key, value]) => `${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
  return `${MARKS[role]} ${seconds}  ${line.node}  ${line.event}  ${fields.join(' ')}`
}
