import createDebug from 'debug'
import { TEAM_PREFIX, type MeshApi, type MeshDocument, type Result, type TeamId, type TeamObject, type TeamSettings, type Teardown } from 'dotterelspur'
import { hashToken, tokenMatches } from 'dotterelspur-settings'

const debug = createDebug('dotterelspur:entry')
const MAX_CACHED_TOKENS = 4_096

/** Reads the team settings in a `teams/<team>` object; the failure is only logged. */
export type TeamParser = (object: TeamObject) => Result<TeamSettings, unknown>

/**
 * The teams' settings that are in force at this node, parsed once per version; one table for all roles of a node.
 *
 * A version that can't be read (written past the operators' interface, or by a newer release) leaves the version
 * before it in force: a team must not lose its replicas because of a text that nobody could read.
 */
export class TeamTable {
  private teams: ReadonlyMap<TeamId, TeamSettings> = new Map()
  /** The highest version seen of each team, deleted ones included, so that an older text can't bring a deleted team back. */
  private readonly highestVersions = new Map<TeamId, number>()
  /** Hashes of tokens that were presented lately, and their teams; cleared with every change of settings. */
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
   * The team whose token this is. Every team's hashes are compared, in constant time each.
   *
   * Two teams that list the same hash (two changes applied at once on different nodes) would let one team's callers
   * in as the other's; such a token is nobody's until one of the teams gives it up.
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
      debug('settings of team %s at version %d can\'t be read: %j', team, document.version, parsed.error)
      return false
    }
    teams.set(team, parsed.value)
    return true
  }
}
