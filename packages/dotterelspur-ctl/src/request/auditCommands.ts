import { failed, success } from 'dotterelspur'
import { auditReplySchema, diffSettings, explanationSchema, type AuditReply, type ExplanationReply } from 'dotterelspur-settings'
import type { Command, CommandArguments, CommandOutput } from '../process/Command.js'
import { get, type Steps } from '../process/CommandEffects.js'
import { CommandErrorKind } from '../process/CommandError.js'
import { ExitCode } from '../process/ExitCode.js'
import { formatTime } from './tables.js'

type AuditLine = AuditReply['records'][number]

const DEFAULT_LIMIT = 200

/** Commands about why things are as they are. */
export const AUDIT_COMMANDS: readonly Command[] = [
  {
    usage: 'audit',
    description: 'show what was changed on a day: who, what, before, after and why',
    positionals: {},
    options: {
      day: { type: 'string', describe: 'YYYY-MM-DD in UTC; today where not given' },
      team: { type: 'string', describe: 'what concerns one team' },
      limit: { type: 'number', default: DEFAULT_LIMIT, describe: 'the newest so many' }
    },
    run: audit
  },
  {
    usage: 'explain <subject> <name> [model]',
    description: 'say why a group is not serving, why a VM is idle, or why a team\'s intent is not met',
    positionals: { subject: 'one of group, vm, intent', name: 'the group, the VM or the team', model: 'the model, for an intent' },
    options: {},
    run: explain
  }
]

function * audit ({ day, team, limit }: CommandArguments): Steps<CommandOutput> {
  const query = new URLSearchParams({ limit: String(limit ?? DEFAULT_LIMIT) })
  if (typeof day === 'string') query.set('day', day)
  if (typeof team === 'string') query.set('team', team)
  const reply = yield * get(`/admin/audit?${query.toString()}`, auditReplySchema)
  if (!reply.ok) return reply
  const lines = reply.value.records.flatMap(describeRecord)
  const note = reply.value.truncated ? ['older records of the day are left out; ask for more with --limit'] : []
  return success({ data: reply.value, text: [...note, ...lines].join('\n') || `nothing was changed on ${reply.value.day}`, exitCode: ExitCode.Done })
}

function describeRecord (line: AuditLine): string[] {
  const reason = line.reason === '' ? '' : `: ${line.reason}`
  return [`${formatTime(line.atWallMs)}  ${line.kind}  ${line.subject}  ${line.actor}${reason}`, ...describeChange(line), ...line.rejected.map((way) => `    rejected: ${way}`)]
}

/** Settings are shown by what differs, other changes as they were recorded. */
function describeChange ({ before, after }: AuditLine): string[] {
  if (after?.includes('[team]') === true) {
    const changes = diffSettings(before ?? '', after, 'after')
    if (changes.ok) return changes.value.map((change) => `    [${change.section}] ${change.key ?? change.kind}${change.key === null ? '' : `: ${change.before ?? 'none'} -> ${change.after ?? 'none'}`}`)
  }
  if (before === null && after === null) return []
  return [`    ${firstLine(before)} -> ${firstLine(after)}`]
}

function firstLine (text: string | null): string {
  if (text === null) return 'none'
  const [first, ...more] = text.trim().split('\n')
  return more.length === 0 ? first! : `${first!} …`
}

type QueryReader = (name: string, model: string | undefined) => string | null

const EXPLAIN_QUERIES: Readonly<Record<string, QueryReader>> = {
  group: (name) => new URLSearchParams({ subject: 'group', name }).toString(),
  vm: (name) => new URLSearchParams({ subject: 'vm', name }).toString(),
  intent: (team, model) => model === undefined ? null : new URLSearchParams({ subject: 'intent', team, model }).toString()
}

function * explain ({ subject, name, model }: CommandArguments): Steps<CommandOutput> {
  const query = EXPLAIN_QUERIES[String(subject)]?.(String(name), model === undefined ? undefined : String(model)) ?? null
  if (query === null) return failed({ kind: CommandErrorKind.Usage, message: 'accepted: explain group <group>, explain vm <vm>, explain intent <team> <model>' })
  const reply = yield * get(`/admin/explain?${query}`, explanationSchema)
  return reply.ok ? success({ data: reply.value, text: describeExplanation(reply.value), exitCode: ExitCode.Done }) : reply
}

function describeExplanation (reply: ExplanationReply): string {
  const causes = reply.causes.flatMap((cause) => {
    const since = cause.sinceWallMs === null ? '' : ` (since ${formatTime(cause.sinceWallMs)})`
    const subject = cause.subject === null ? '' : `${cause.subject}: `
    return [`  ${cause.kind}: ${subject}${cause.message}${since}`, ...cause.rejected.map((way) => `    rejected: ${way}`)]
  })
  return [`${reply.subject} ${reply.name}: ${reply.summary}`, ...causes].join('\n')
}
