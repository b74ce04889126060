import createDebug from 'debug'
import { TEAM_PREFIX, type MeshApi, type MeshDocument, type TeamId, type TeamObject, type TeamSettings, type Teardown } from 'dotterelspur'
import { hashToken, tokenMatches } from 'dotterelspur-settings'
import type { TeamParser } from './EntryOptions.js'

const debug = createDebug('dotterelspur:entry')
const MAX_KNOWN_TOKENS = 4_096

/** The teams' settings that are in force at this node, parsed once per version. */
export class TeamTable {
  private teams: ReadonlyMap<TeamId, TeamSettings> = new Map()
  /** Hashes of tokens that were presented lately, and their teams; cleared with every change of settings. */
  private readonly knownTokens = new Map<string, TeamId>()
  private readonly listeners = new Set<() => void>()

  constructor (private readonly mesh: MeshApi, private readonly parseTeam: TeamParser) {
    for (const document of mesh.documents(TEAM_PREFIX)) this.takeIn(document)
  }

  start (): Teardown {
    return this.mesh.registerDocumentListener(TEAM_PREFIX, (document) => { this.takeIn(document) })
  }

  registerListener (listener: () => void): Teardown {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  get (team: TeamId): TeamSettings | undefined {
    return this.teams.get(team)
  }

  all (): readonly TeamSettings[] {
    return [...this.teams.values()]
  }

  /** The team whose token this is. Every team's hashes are compared, in constant time each. */
  findByToken (token: string): TeamSettings | undefined {
    const hash = hashToken(token)
    const known = this.knownTokens.get(hash)
    if (known !== undefined) return this.teams.get(known)
    let found: TeamSettings | undefined
    for (const settings of this.teams.values()) {
      if (tokenMatches(token, settings.callerTokenHashes)) found = settings
    }
    if (found !== undefined && this.knownTokens.size < MAX_KNOWN_TOKENS) this.knownTokens.set(hash, found.team)
    return found
  }

  private takeIn (document: MeshDocument): void {
    const team = document.key.slice(TEAM_PREFIX.length)
    const next = new Map(this.teams)
    if (document.deleted) next.delete(team)
    else if (!this.parseInto(next, team, document)) return
    this.teams = next
    this.knownTokens.clear()
    for (const listener of [...this.listeners]) listener()
  }

  /** Settings that can't be read leave the version before them in force. */
  private parseInto (teams: Map<TeamId, TeamSettings>, team: TeamId, document: MeshDocument): boolean {
    const parsed = this.parseTeam(document.body as TeamObject)
    if (!parsed.ok) {
      debug('settings of team %s at version %d can\'t be read: %j', team, document.version, parsed.error)
      return false
    }
    teams.set(team, parsed.value)
    return true
  }
}
