import type { MeshDocument, ObjectListing } from 'dotterelspur'

/**
 * The documents that a listing shows to be deleted: held at a version below the listing's and absent from it.
 * A held version above the listing's is not touched: the listing is from before that write.
 */
export function findDeletions (held: readonly MeshDocument[], listing: ObjectListing<unknown>): MeshDocument[] {
  const present = new Set(listing.objects.map((object) => object.key))
  return held
    .filter((document) => !document.deleted && document.version < listing.version && !present.has(document.key))
    .map((document) => ({ key: document.key, version: listing.version, body: null, deleted: true }))
}
