import { success } from 'dotterelspur'
import {
  DrainTargetKind, drainListSchema, drainReplySchema, endpointListSchema, formatDuration, groupListSchema, leaseListSchema, nodeListSchema, statusReplySchema,
  type StatusReply
} from 'dotterelspur-settings'
import type { Command, CommandArguments, CommandOutput, Signature } from '../process/Command.js'
import { call, createChangeToken, get, type Steps } from '../process/CommandEffects.js'
import { ExitCode } from '../process/ExitCode.js'
import { formatTable, formatTime, type Cell } from './tables.js'

/** Commands about what runs. */
export const FLEET_COMMANDS: readonly Command[] = [
  { usage: 'status', description: 'show the fleet in a few lines, as one node sees it', positionals: {}, options: {}, run: status },
  { usage: 'groups', description: 'list the groups', positionals: {}, options: { team: { type: 'string', describe: 'of one team' }, 'not-serving': { type: 'boolean', default: false, describe: 'only those that don\'t serve' } }, run: groups },
  { usage: 'endpoints', description: 'list the endpoint VMs', positionals: {}, options: { idle: { type: 'boolean', default: false, describe: 'only engines in no group' } }, run: endpoints },
  { usage: 'nodes', description: 'list the nodes', positionals: {}, options: {}, run: nodes },
  { usage: 'leases', description: 'list who decides for which failure domain', positionals: {}, options: {}, run: leases },
  { usage: 'drains', description: 'list what is asked to take no new work', positionals: {}, options: {}, run: drains },
  {
    usage: 'drain <kind> <target>',
    description: 'ask a VM, a group or a node to finish what it has and take nothing new',
    positionals: { kind: `one of ${Object.values(DrainTargetKind).join(', ')}`, target: 'its name' },
    options: { undo: { type: 'boolean', default: false, describe: 'take the request back' } },
    run: drain
  }
]

function done (data: unknown, head: readonly string[], rows: ReadonlyArray<readonly Cell[]>): CommandOutput {
  return { data, text: formatTable(head, rows), exitCode: ExitCode.Done }
}

function formatCounts (counts: Readonly<Record<string, number>>): string {
  return Object.entries(counts).map(([name, number]) => `${number} ${name}`).join(', ') || 'none'
}

function formatAge (ageMs: number | null): string {
  return ageMs === null ? 'never' : `${formatDuration(ageMs)} ago`
}

function * status (): Steps<CommandOutput> {
  const reply = yield * get('/admin/status', statusReplySchema)
  return reply.ok ? success({ data: reply.value, text: describeStatus(reply.value), exitCode: ExitCode.Done }) : reply
}

function describeStatus (reply: StatusReply): string {
  const rows: ReadonlyArray<readonly Cell[]> = [
    ['answered by', `${reply.node}.${reply.incarnation} in ${reply.failureDomain}, ${reply.region} (${reply.state}, ${reply.ready ? 'ready' : 'not ready'})`],
    ['nodes', formatCounts(reply.nodes)],
    ['groups', `${reply.groups.serving} serving, ${reply.groups.notServing} not serving (${formatCounts(reply.groups.byState)})`],
    ['teams', reply.teams],
    ['leases held', reply.leases],
    ['drains', reply.drains],
    ['store heard', formatAge(reply.storeContactAgeMs)],
    ['peers heard', formatAge(reply.peerContactAgeMs)]
  ]
  return rows.map(([name, value]) => `${String(name).padEnd(13)}${String(value)}`).join('\n')
}

function * groups ({ team, notServing }: CommandArguments): Steps<CommandOutput> {
  const reply = yield * get('/admin/groups', groupListSchema)
  if (!reply.ok) return reply
  const shown = reply.value.groups.filter((line) => (team === undefined || line.team === team) && !(notServing === true && line.serving))
  const rows = shown.map((line) => [line.group, line.team, line.model, line.version, line.fabricDomain, line.state, line.serving, line.formation, `${line.members.length}+${line.standbys.length}`, line.running, line.waiting, line.cause])
  return success(done({ ...reply.value, groups: shown }, ['group', 'team', 'model', 'version', 'fabric domain', 'state', 'serving', 'formation', 'VMs+standbys', 'running', 'waiting', 'cause'], rows))
}

function * endpoints ({ idle }: CommandArguments): Steps<CommandOutput> {
  const reply = yield * get('/admin/endpoints', endpointListSchema)
  if (!reply.ok) return reply
  const shown = reply.value.endpoints.filter((line) => idle !== true || (line.service === null && line.group === null))
  const rows = shown.map((line) => [line.vm, line.role, line.listState, line.failureDomain, line.fabricDomain, line.incarnation, line.group ?? line.service, line.standby, line.drained])
  const output = done({ ...reply.value, endpoints: shown }, ['VM', 'role', 'list', 'failure domain', 'fabric domain', 'incarnation', 'group or service', 'standby', 'drained'], rows)
  return success(reply.value.listed ? output : { ...output, text: `the platform's list can't be read; assigned VMs and known service workers only\n${output.text}` })
}

function * nodes (): Steps<CommandOutput> {
  const reply = yield * get('/admin/nodes', nodeListSchema)
  if (!reply.ok) return reply
  const rows = reply.value.nodes.map((line) => [line.node, line.incarnation, line.state, line.region, line.failureDomain, line.entryAddress, line.adminAddress, line.meshAddress])
  return success(done(reply.value, ['node', 'incarnation', 'state', 'region', 'failure domain', 'entry', 'admin', 'mesh'], rows))
}

function * leases (): Steps<CommandOutput> {
  const reply = yield * get('/admin/leases', leaseListSchema)
  if (!reply.ok) return reply
  const rows = reply.value.leases.map((line) => [line.failureDomain, line.released ? null : `${line.holder}.${line.holderIncarnation}`, line.holderState, line.fencing, line.renewal, formatDuration(line.ttlMs)])
  return success(done(reply.value, ['failure domain', 'holder', 'holder is', 'fencing', 'renewals', 'ttl'], rows))
}

function * drains (): Steps<CommandOutput> {
  const reply = yield * get('/admin/drains', drainListSchema)
  if (!reply.ok) return reply
  const rows = reply.value.drains.map((line) => [line.kind, line.target, line.requestedBy, formatTime(line.requestedAtWallMs), line.reason])
  return success(done(reply.value, ['kind', 'target', 'asked by', 'asked at', 'reason'], rows))
}

function * drain ({ kind, target, undo }: CommandArguments, signature: Signature): Steps<CommandOutput> {
  const changeToken = yield * createChangeToken()
  const path = `/admin/drains/${encodeURIComponent(String(kind))}/${encodeURIComponent(String(target))}`
  const reply = yield * call({ method: undo === true ? 'DELETE' : 'PUT', path, body: { ...signature, changeToken }, changeToken }, drainReplySchema)
  if (!reply.ok) return reply
  const text = reply.value.drained ? `${reply.value.kind} ${reply.value.target} takes no new work` : `${reply.value.kind} ${reply.value.target} may take new work again`
  return success({ data: reply.value, text, exitCode: ExitCode.Done })
}
