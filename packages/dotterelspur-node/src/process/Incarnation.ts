import { NODE_PREFIX, sleep, type Clock, type NodeId, type NodeObject, type ObjectStore } from 'dotterelspur'

/** How long a starting node waits for what the store knows of the process before it. */
const STORED_INCARNATION_TIMEOUT_MS = 1_500

/**
 * Chooses the incarnation of this process: the wall clock, or one above the incarnation that the store remembers
 * of this node where that is higher.
 *
 * A wall clock that was set back between two starts would give the new process a lower incarnation than the old
 * one's: its peers would take its words for old ones, and request ids of the old home could be taken for its own.
 * With the store out, the wall clock alone decides.
 */
export async function chooseIncarnation (node: NodeId, store: ObjectStore, clock: Clock): Promise<number> {
  const fromClock = Math.floor(clock.wallMs())
  const storedIncarnation = await Promise.race([readStoredIncarnation(node, store), sleep(clock, STORED_INCARNATION_TIMEOUT_MS)])
  return Math.max(fromClock, (storedIncarnation ?? 0) + 1)
}

async function readStoredIncarnation (node: NodeId, store: ObjectStore): Promise<number | undefined> {
  const stored = await store.get<NodeObject>(`${NODE_PREFIX}${node}`)
  return stored.ok ? stored.value.body?.incarnation : undefined
}
