import { TEAM_PREFIX, type MeshApi, type MeshDocument, type Result, type TeamId, type TeamObject, type TeamSettings, type Teardown } from 'dotterelspur'

/** Parses one team's INI text; the error is already a sentence for people. */
export type TeamParser = (text: string, team: TeamId) => Result<TeamSettings, string>

/** One team's settings as this node has them in force. */
export interface TeamInForce {
  readonly settings: TeamSettings
  readonly version: number
}

export interface TeamRegistryOptions {
  readonly mesh: MeshApi
  readonly parse: TeamParser
  /** Told of a version that could not be parsed; the one before stays in force. */
  readonly onRejected: (team: TeamId, version: number, reason: string) => void
}

/**
 * The teams' settings in force at this node: an immutable snapshot made of the mesh's `teams/` documents.
 *
 * A version that doesn't parse (written past the operators' interface, or by a newer release) leaves the version
 * before it in force: a team must not lose its replicas because of a text that nobody could read.
 */
export class TeamRegistry {
  private snapshot: ReadonlyMap<TeamId, TeamInForce> = new Map()
  /** The highest version seen of each team, deleted ones included, so that an older text can't bring a deleted team back. */
  private readonly highestVersions = new Map<TeamId, number>()
  private readonly listeners = new Set<() => void>()

  constructor (private readonly options: TeamRegistryOptions) {}

  /** Follows the mesh's documents from now on, beginning with those it holds. */
  registerDocuments (): Teardown {
    const { mesh } = this.options
    for (const document of mesh.documents(TEAM_PREFIX)) this.take(document)
    return mesh.registerDocumentListener(TEAM_PREFIX, (document) => { this.take(document) })
  }

  registerTeamsListener (listener: () => void): Teardown {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  team (team: TeamId): TeamSettings | undefined {
    return this.snapshot.get(team)?.settings
  }

  teams (): readonly TeamSettings[] {
    return [...this.snapshot.values()].map((inForce) => inForce.settings)
  }

  private take (document: MeshDocument): void {
    const team = document.key.slice(TEAM_PREFIX.length)
    if ((this.highestVersions.get(team) ?? 0) >= document.version) return
    this.highestVersions.set(team, document.version)
    const pending = new Map(this.snapshot)
    if (document.deleted) pending.delete(team)
    else if (!this.parseInto(pending, team, document)) return
    this.snapshot = pending
    for (const listener of this.listeners) listener()
  }

  private parseInto (pending: Map<TeamId, TeamInForce>, team: TeamId, document: MeshDocument): boolean {
    const body = document.body as TeamObject
    const parsed = this.options.parse(body.text, team)
    if (!parsed.ok) {
      this.options.onRejected(team, document.version, parsed.error)
      return false
    }
    pending.set(team, { settings: parsed.value, version: document.version })
    return true
  }
}
