import { TEAM_PREFIX, type MeshApi, type MeshDocument, type TeamId, type TeamObject, type TeamSettings } from 'dotterelspur'
import { parseTeamSettings, readTeamObject } from 'dotterelspur-settings'

/** A team's settings in this node's copy of the store. */
export interface TeamEntry {
  readonly team: TeamId
  readonly version: number
  readonly object: TeamObject
  /** Null when the stored text can't be parsed. */
  readonly settings: TeamSettings | null
}

/** Reads and parses the team documents in the mesh, and caches the result for each document version. */
export class TeamDocuments {
  private parsedByKey = new Map<string, TeamEntry>()

  constructor (private readonly mesh: MeshApi) {}

  entries (): readonly TeamEntry[] {
    const entriesByKey = new Map<string, TeamEntry>()
    for (const document of this.mesh.documents(TEAM_PREFIX)) {
      const entry = document.deleted ? undefined : this.entryOf(document)
      if (entry !== undefined) entriesByKey.set(document.key, entry)
    }
    this.parsedByKey = entriesByKey
    return [...entriesByKey.values()]
  }

  find (team: TeamId): TeamEntry | undefined {
    const document = this.mesh.document(`${TEAM_PREFIX}${team}`)
    return document === undefined || document.deleted ? undefined : this.entryOf(document)
  }

  private entryOf (document: MeshDocument): TeamEntry | undefined {
    const cached = this.parsedByKey.get(document.key)
    if (cached !== undefined && cached.version === document.version) return cached
    const object = readTeamObject(document.body)
    if (object === undefined) return undefined
    const settings = parseTeamSettings(object.text, document.key)
    const entry = { team: document.key.slice(TEAM_PREFIX.length), version: document.version, object, settings: settings.ok ? settings.value : null }
    this.parsedByKey.set(document.key, entry)
    return entry
  }
}
