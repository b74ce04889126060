import type { StoredObject } from 'dotterelspur'

/**
 * The latest state that this process has seen of each key, bounded, and the store's highest version.
 *
 * Reads may be answered from the past. Without this, a node that has read version 9 could read version 7
 * afterwards and act on it: a lease would seem to be held by its former holder again.
 */
export class SeenVersions {
  private readonly objects = new Map<string, StoredObject<unknown>>()
  private highestVersion = 0
  private staleResponses = 0

  constructor (private readonly maximumKeys: number) {}

  /** The store's highest version in any answer so far. */
  get storeVersion (): number {
    return this.highestVersion
  }

  /** Answers that came from before what was already seen. */
  get staleCount (): number {
    return this.staleResponses
  }

  /** Takes an object in; returns the later of it and what was seen before. */
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

  /** What was seen of a key; undefined when nothing was, or it was dropped. */
  get<Body> (key: string): StoredObject<Body> | undefined {
    return this.objects.get(key) as StoredObject<Body> | undefined
  }
}
