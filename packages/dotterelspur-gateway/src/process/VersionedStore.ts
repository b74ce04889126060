import type { ObjectStore, Result, StoredObject, StoreError } from 'dotterelspur'

/** What changed under a prefix, in order, up to `version` of the store. */
export interface ChangeBatch {
  readonly objects: ReadonlyArray<StoredObject<unknown>>
  readonly version: number
}

/** An object store whose changes are read one answer at a time, from a version on. */
export interface VersionedStore extends Omit<ObjectStore, 'watch'> {
  /**
   * The changes under `prefix` after `sinceVersion`; waits up to `waitMs` for the first one. Fails with NotFound when
   * the store has forgotten that version: then the prefix is to be listed.
   */
  changes (prefix: string, sinceVersion: number, waitMs: number): Promise<Result<ChangeBatch, StoreError>>
}
