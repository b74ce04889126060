import type { MeshDocument, ObjectListing } from 'dotterelspur'

/**
 * Returns deletions for the documents that a listing shows to be deleted: those held at a version below the listing's
 * and absent from it. Documents with a version above the listing's are ignored, since they were written after it.
 */
export function findDeletions (held: readonly MeshDocument[], listing: ObjectListing<unknown>): MeshDocument[] {
  const present = new Set(listing.objects.map((object) => object.key))
  return held
    .filter((document) => !document.deleted && document.version < listing.version && !present.has(document.key))
    .map((document) => ({ key: document.key, version: listing.version, body: null, deleted: true }))
}
