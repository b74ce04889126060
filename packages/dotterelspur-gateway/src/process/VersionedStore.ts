import type { ObjectStore, Result, StoredObject, StoreError } from 'dotterelspur'

/** Changes under a prefix, in order, up to the store's `version`. */
export interface ChangeBatch {
  readonly objects: ReadonlyArray<StoredObject<unknown>>
  readonly version: number
}

/** An object store whose changes are read by long polling from a given version. */
export interface VersionedStore extends Omit<ObjectStore, 'watch'> {
  /**
   * Returns the changes under `prefix` after `sinceVersion`; waits up to `waitMs` for the first one. Fails with
   * NotFound when the store no longer keeps that version; the prefix must then be listed.
   */
  changes (prefix: string, sinceVersion: number, waitMs: number): Promise<Result<ChangeBatch, StoreError>>
}
