import { failed, success } from 'dotterelspur'
import type { Result, Teardown } from 'dotterelspur'

/** A state of a key. Versions count the writes of the whole table. */
export interface Revision {
  readonly key: string
  readonly version: number
  readonly body: unknown
  readonly deleted: boolean
}

/** Why a conditional write was rejected: the current version, null if the key does not exist. */
export interface ConditionFailed {
  readonly currentVersion: number | null
}

export interface TableListing {
  readonly objects: readonly Revision[]
  readonly version: number
}

const REVISIONS_PER_KEY = 64
const HISTORY_LENGTH = 20_000

/**
 * The platform's objects, without I/O: conditional writes, reads at an earlier version, and a bounded history for
 * watches.
 */
export class ObjectTable {
  private readonly revisions = new Map<string, Revision[]>()
  private readonly history: Revision[] = []
  private readonly listeners = new Set<(revision: Revision) => void>()
  private currentVersion = 0
  /** The history up to and including this version has been discarded. */
  private compactedVersion = 0

  get version (): number {
    return this.currentVersion
  }

  /** The object, at `asOfVersion` if it is given. */
  get (key: string, asOfVersion = this.currentVersion): Revision | undefined {
    const revision = this.revisionAt(key, asOfVersion)
    return revision === undefined || revision.deleted ? undefined : revision
  }

  list (prefix: string, asOfVersion = this.currentVersion): TableListing {
    const objects: Revision[] = []
    for (const key of this.revisions.keys()) {
      if (!key.startsWith(prefix)) continue
      const revision = this.get(key, asOfVersion)
      if (revision !== undefined) objects.push(revision)
    }
    objects.sort((left, right) => left.key < right.key ? -1 : 1)
    return { objects, version: Math.min(asOfVersion, this.currentVersion) }
  }

  create (key: string, body: unknown): Result<Revision, ConditionFailed> {
    const current = this.get(key)
    if (current !== undefined) return failed({ currentVersion: current.version })
    return success(this.commit(key, body, false))
  }

  update (key: string, body: unknown, expectedVersion: number): Result<Revision, ConditionFailed> {
    const current = this.get(key)
    if (current?.version !== expectedVersion) return failed({ currentVersion: current?.version ?? null })
    return success(this.commit(key, body, false))
  }

  remove (key: string, expectedVersion: number): Result<Revision, ConditionFailed> {
    const current = this.get(key)
    if (current?.version !== expectedVersion) return failed({ currentVersion: current?.version ?? null })
    return success(this.commit(key, null, true))
  }

  /** Changes of a prefix after a version, in order; undefined if that part of the history has been discarded. */
  changesAfter (prefix: string, afterVersion: number): readonly Revision[] | undefined {
    if (afterVersion < this.compactedVersion) return undefined
    return this.history.filter((revision) => revision.version > afterVersion && revision.key.startsWith(prefix))
  }

  /** The highest version of a change under the prefix in the history; 0 if there is none. */
  prefixVersion (prefix: string): number {
    for (let index = this.history.length - 1; index >= 0; index--) {
      const revision = this.history[index]!
      if (revision.key.startsWith(prefix)) return revision.version
    }
    return 0
  }

  /** The previous state of the key, or the current one if there is no previous one. */
  earlierRevision (key: string): Revision | undefined {
    const all = this.revisions.get(key) ?? []
    return all[all.length - 2] ?? all[all.length - 1]
  }

  /** The listener runs after each committed write. */
  registerListener (listener: (revision: Revision) => void): Teardown {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  private revisionAt (key: string, asOfVersion: number): Revision | undefined {
    const all = this.revisions.get(key) ?? []
    for (let index = all.length - 1; index >= 0; index--) {
      if (all[index]!.version <= asOfVersion) return all[index]
    }
    return undefined
  }

  private commit (key: string, body: unknown, deleted: boolean): Revision {
    const revision: Revision = { key, version: ++this.currentVersion, body, deleted }
    const all = this.revisions.get(key) ?? []
    all.push(revision)
    if (all.length > REVISIONS_PER_KEY) all.shift()
    this.revisions.set(key, all)
    this.remember(revision)
    for (const listener of [...this.listeners]) listener(revision)
    return revision
  }

  private remember (revision: Revision): void {
    this.history.push(revision)
    if (this.history.length <= HISTORY_LENGTH) return
    this.compactedVersion = this.history.shift()!.version
  }
}
