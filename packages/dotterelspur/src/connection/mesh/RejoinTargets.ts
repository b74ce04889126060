import { NODE_PREFIX, type NodeObject } from '../../version/PlatformObjects.js'
import type { DialTarget } from './DialScheduler.js'
import type { DocumentTable } from './DocumentTable.js'
import { isLiving, MemberHealth, type MemberRecord } from './MemberRecord.js'

/**
 * Addresses of nodes that may be running without being in this node's membership: dead members, seeds, and nodes with a
 * stored node object. Without these attempts, two halves of a fleet that declared each other dead would never rejoin.
 */
export function rejoinTargets (ownAddress: string, records: readonly MemberRecord[], documents: DocumentTable, seeds: readonly string[]): DialTarget[] {
  const known = new Set([ownAddress])
  const addresses = new Set<string>()
  for (const record of records) {
    if (isLiving(record) || record.health === MemberHealth.Left) known.add(record.meshAddress)
    else addresses.add(record.meshAddress)
  }
  for (const address of seeds) addresses.add(address)
  for (const document of documents.list(NODE_PREFIX)) {
    const body = document.body as Partial<NodeObject> | null
    if (!document.deleted && body?.draining !== true && typeof body?.meshAddress === 'string') addresses.add(body.meshAddress)
  }
  return [...addresses].filter((address) => !known.has(address)).map((address) => ({ address, node: null }))
}
