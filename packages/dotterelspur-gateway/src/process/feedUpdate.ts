import type { StoredObject } from 'dotterelspur'
import type { PrefixFollower } from './PrefixFollower.js'
import type { FeedUpdate } from './StoreFeed.js'
import type { ChangeBatch } from './VersionedStore.js'

/** Whether a change that has not been applied yet affects request dispatch. */
type ConcernsCallers = (object: StoredObject<unknown>) => boolean

/**
 * The part of a batch that the lease holder sends to the other nodes. Changes that are not forwarded leave a version gap, after
 * which each node polls the store.
 */
export function updateToShare ({ prefix, rule, lastChangeVersion: sinceVersion }: PrefixFollower, { objects, version }: ChangeBatch, concernsCallers: ConcernsCallers): FeedUpdate {
  if (!rule.isForwarded && objects.length > 0) return { prefix, sinceVersion: version, objects: [], version }
  return { prefix, sinceVersion, objects: rule.isFiltered ? selectForCallers(objects, concernsCallers) : objects, version }
}

/**
 * Selects the changes that affect callers, judged by the state before the batch; a later change of the same key in
 * the batch is included, since it may undo the first one.
 */
function selectForCallers (objects: ChangeBatch['objects'], concernsCallers: ConcernsCallers): ChangeBatch['objects'] {
  const forwarded = new Set<string>()
  return objects.filter((object) => {
    if (concernsCallers(object)) forwarded.add(object.key)
    return forwarded.has(object.key)
  })
}
