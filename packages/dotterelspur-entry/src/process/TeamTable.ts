import createDebug from 'debug'
import { TEAM_PREFIX, type MeshApi, type MeshDocument, type Result, type TeamId, type TeamObject, type TeamSettings, type Teardown } from 'dotterelspur'
import { hashToken, tokenMatches } from 'dotterelspur-settings'

const debug = createDebug('dotterelspur:entry')
const MAX_CACHED_TOKENS = 4_096

/** Reads the team settings in a `teams/<team>` object; the failure is only logged. */
export type TeamParser = (object: TeamObject) => Result<TeamSettings, unknown>

/**
 * The team settings that are in force at this node, parsed once per version. All roles of a node share one table.
 *
 * If a version can't be parsed (because it was written bypassing the operators' interface, or by a newer release), the version before
 * it stays in force: a team must not lose its replicas because of an unreadable text.
 */
export class TeamTable {
  private teams: ReadonlyMap<TeamId, TeamSettings> = new Map()
  /** The highest version received for each team, deleted ones included, so that an older version can't restore a deleted team. */
  private readonly highestVersions = new Map<TeamId, number>()
  /** Teams by the hashes of recently presented tokens; cleared on every change of settings. */
  private readonly tokenCache = new Map<string, TeamId>()
  private readonly listeners = new Set<() => void>()

  constructor (private readonly mesh: MeshApi, private readonly parseTeam: TeamParser) {
    for (const document of mesh.documents(TEAM_PREFIX)) this.applyDocument(document)
  }

  start (): Teardown {
    return this.mesh.registerDocumentListener(TEAM_PREFIX, (document) => { this.applyDocument(document) })
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

  /**
   * The team that the token belongs to. The token is compared with every team's hashes, each in constant time.
   *
   * Two teams can list the same hash, if two changes are applied at once on different nodes. One team's callers would then be
   * authenticated as the other's, so such a token is rejected until one of the teams removes it.
   */
  findByToken (token: string): TeamSettings | undefined {
    const hash = hashToken(token)
    const cachedTeam = this.tokenCache.get(hash)
    if (cachedTeam !== undefined) return this.teams.get(cachedTeam)
    const owners = this.all().filter((settings) => tokenMatches(token, settings.callerTokenHashes))
    const owner = owners.length === 1 ? owners[0] : undefined
    if (owner !== undefined && this.tokenCache.size < MAX_CACHED_TOKENS) this.tokenCache.set(hash, owner.team)
    return owner
  }

  private applyDocument (document: MeshDocument): void {
    const team = document.key.slice(TEAM_PREFIX.length)
    if ((this.highestVersions.get(team) ?? -1) >= document.version) return
    this.highestVersions.set(team, document.version)
    const next = new Map(this.teams)
    if (document.deleted) next.delete(team)
    else if (!this.parseInto(next, team, document)) return
    this.teams = next
    this.tokenCache.clear()
    for (const listener of [...this.listeners]) listener()
  }

  private parseInto (teams: Map<TeamId, TeamSettings>, team: TeamId, document: MeshDocument): boolean {
    const parsed = this.parseTeam(document.body as TeamObject)
    if (!parsed.ok) {
      debug('settings of team %s at version %d can\'t be parsed: %j', team, document.version, parsed.error)
      return false
    }
    teams.set(team, parsed.value)
    return true
  }
}
