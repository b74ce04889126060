import { failed, success } from 'dotterelspur'
import type { Result, Teardown } from 'dotterelspur'

/** One state of one key. Versions are those of the whole table: each write takes the next. */
export interface Revision {
  readonly key: string
  readonly version: number
  readonly body: unknown
  readonly deleted: boolean
}

/** Why a conditional write was refused: the version that is there, null for none. */
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
 * The platform's objects without any I/O: conditional writes, reads as of an earlier version, and a bounded
 * history for watches.
 */
export class ObjectTable {
  private readonly revisions = new Map<string, Revision[]>()
  private readonly history: Revision[] = []
  private readonly listeners = new Set<(revision: Revision) => void>()
  private currentVersion = 0
  /** History up to and including this version is gone. */
  private compactedVersion = 0

  get version (): number {
    return this.currentVersion
  }

  /** The live object, as of `asOfVersion` where given. */
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

  /** Changes of a prefix after a version, in order; undefined when that part of the history is gone. */
  changesAfter (prefix: string, afterVersion: number): readonly Revision[] | undefined {
    if (afterVersion < this.compactedVersion) return undefined
    return this.history.filter((revision) => revision.version > afterVersion && revision.key.startsWith(prefix))
  }

  /** The highest version of any change under the prefix that the history still holds, 0 for none. */
  prefixVersion (prefix: string): number {
    for (let index = this.history.length - 1; index >= 0; index--) {
      const revision = this.history[index]!
      if (revision.key.startsWith(prefix)) return revision.version
    }
    return 0
  }

  /** The state of the key before its present one; the present one when there was none. */
  earlierRevision (key: string): Revision | undefined {
    const all = this.revisions.get(key) ?? []
    return all[all.length - 2] ?? all[all.length - 1]
  }

  /** Called after each write is committed. */
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
