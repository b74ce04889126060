import { LEASE_PREFIX, type LeaseObject, type MeshDocument } from 'dotterelspur'

/**
 * Whether a document of the store goes into the mesh: all do but lease renewals. Each failure domain's lease is
 * renewed every 1.5 s; spread to every node, the renewals of all failure domains would cost more bytes than all
 * else together, and nobody but the candidates, who read the store themselves, needs them. What the mesh carries
 * is who holds a lease.
 */
export function isWorthSpreading (document: MeshDocument, held: MeshDocument | undefined): boolean {
  if (!document.key.startsWith(LEASE_PREFIX) || document.deleted) return true
  if (held === undefined || held.deleted) return true
  const next = document.body as LeaseObject
  const last = held.body as LeaseObject
  return next.holder !== last.holder || next.holderIncarnation !== last.holderIncarnation || next.fencing !== last.fencing || next.released !== last.released
}
