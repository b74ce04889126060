import { randomUUID } from 'node:crypto'
import { request } from 'undici'
import type { GroupSample, VersionSample } from './SoakEvidence.js'

interface GroupsAnswer {
  readonly groups?: ReadonlyArray<{
    readonly group: string
    readonly fabricDomain: string
    readonly formation: number
    readonly version: string
    readonly serving: boolean
    readonly members: ReadonlyArray<{ readonly vm: string }>
  }>
}

interface TeamsAnswer {
  readonly teams?: ReadonlyArray<{ readonly team: string, readonly version: number }>
}

interface SettingsAnswer {
  readonly version: number
  readonly text: string
}

/** State of a node at one moment, by its own report. */
export interface NodeSample {
  readonly groups: readonly GroupSample[]
  readonly versions: readonly VersionSample[]
  readonly modelVersions: readonly string[]
  readonly serving: number
}

const TIMEOUT_MS = 1_500

/** Client of a node's operators' listener. Calls resolve with undefined if the node does not respond. */
export class AdminClient {
  constructor (private readonly url: string, private readonly token: string, private readonly node: number) {}

  async sample (): Promise<NodeSample | undefined> {
    const atMs = Date.now()
    const groups = await this.call<GroupsAnswer>('GET', '/admin/groups')
    const teams = await this.call<TeamsAnswer>('GET', '/admin/teams')
    if (groups?.groups === undefined || teams?.teams === undefined) return undefined
    return {
      groups: groups.groups.map(({ group, fabricDomain, formation, members }) => ({ atMs, node: this.node, fabricDomain, group, formation, members: members.map((member) => member.vm) })),
      versions: teams.teams.map(({ team, version }) => ({ atMs, node: this.node, team, version })),
      modelVersions: groups.groups.map((group) => group.version),
      serving: groups.groups.filter((group) => group.serving).length
    }
  }

  /** Applies a team's settings with an additional comment: a new version without any other change. */
  async touchSettings (team: string, number: number): Promise<boolean> {
    const current = await this.call<SettingsAnswer>('GET', `/admin/teams/${team}/settings`)
    if (current?.text === undefined) return false
    const text = `${current.text.replace(/\n; change [0-9]+ of the soak\n?$/, '')}\n; change ${number} of the soak\n`
    const reply = await this.call('PUT', `/admin/teams/${team}/settings`, { text, expectedVersion: current.version, operator: 'soak', changeToken: randomUUID(), reason: 'soak' })
    return reply !== undefined
  }

  private async call<Answer> (method: 'GET' | 'PUT', path: string, body?: unknown): Promise<Answer | undefined> {
    try {
      const reply = await request(`${this.url}${path}`, {
        method,
        headers: { authorization: `Bearer ${this.token}`, ...(body === undefined ? {} : { 'content-type': 'application/json' }) },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(TIMEOUT_MS)
      })
      const answer = await reply.body.json() as Answer
      return reply.statusCode < 300 ? answer : undefined
    } catch {
      return undefined
    }
  }
}
