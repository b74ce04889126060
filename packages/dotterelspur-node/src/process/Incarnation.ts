import { NODE_PREFIX, sleep, type Clock, type NodeId, type NodeObject, type ObjectStore } from 'dotterelspur'

/** How long a starting node waits for the store to return the incarnation of the previous process of this node. */
const STORED_INCARNATION_TIMEOUT_MS = 1_500

/**
 * Chooses the incarnation of this process: the wall clock in milliseconds, or the incarnation stored for this node
 * plus one, whichever is higher.
 *
 * If the wall clock was set back between two starts, the wall clock alone would give the new process a lower
 * incarnation than the previous one: peers would discard its messages as outdated, and request ids that the previous
 * process issued could be taken for those of the new one. When the store does not respond in time, the wall clock is
 * used alone.
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
