import type { StoredObject } from 'dotterelspur'

/**
 * A bounded cache of the latest state that this process has observed of each key, and the highest store version.
 *
 * Reads from the store may be stale. Without this cache, a node that has read version 9 could read version 7
 * afterwards and act on it: a lease would seem to be held by its former holder again.
 */
export class SeenVersions {
  private readonly objects = new Map<string, StoredObject<unknown>>()
  private highestVersion = 0
  private staleResponses = 0

  constructor (private readonly maximumKeys: number) {}

  /** The highest store version in any response so far. */
  get storeVersion (): number {
    return this.highestVersion
  }

  /** Number of responses older than the state already observed. */
  get staleCount (): number {
    return this.staleResponses
  }

  /** Records an object and returns it, or the cached state if that is newer. */
  record<Body> (object: StoredObject<Body>): StoredObject<Body> {
    this.recordVersion(object.version)
    const seen = this.objects.get(object.key)
    if (seen !== undefined && seen.version > object.version) {
      this.staleResponses++
      return seen as StoredObject<Body>
    }
    this.objects.delete(object.key)
    this.objects.set(object.key, object)
    if (this.objects.size > this.maximumKeys) this.objects.delete(this.objects.keys().next().value!)
    return object
  }

  recordVersion (version: number): void {
    this.highestVersion = Math.max(this.highestVersion, version)
  }

  countStale (): void {
    this.staleResponses++
  }

  /** The latest observed state of a key; undefined when none was observed or it was evicted. */
  get<Body> (key: string): StoredObject<Body> | undefined {
    return this.objects.get(key) as StoredObject<Body> | undefined
  }
}
