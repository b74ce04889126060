import type { FailureDomainId, NodeId, RegionId } from '../../process/ids.js'
import { hashText } from '../../process/rendezvous.js'
import { NodeState, type NodeMember } from '../MeshApi.js'

/** A node's health as determined by its peers, in rising order: within one revision the higher value replaces the lower. */
export enum MemberHealth {
  Alive = 0,
  Suspect = 1,
  Dead = 2,
  Left = 3
}

/**
 * A node's record as disseminated in the mesh. `incarnation` identifies the process; only that process raises
 * `revision`, to refute a suspicion or to announce a change such as draining.
 */
export interface MemberRecord {
  readonly node: NodeId
  readonly incarnation: number
  readonly revision: number
  readonly health: MemberHealth
  readonly draining: boolean
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly meshAddress: string
  readonly entryAddress: string
  readonly adminAddress: string
}

/** The fields of a record that determine which of two records is newer. */
export type MemberVersion = Pick<MemberRecord, 'node' | 'incarnation' | 'revision' | 'health'>

/** Positive if `left` is newer than `right`, 0 if both are equal. */
export function compareMemberVersions (left: MemberVersion, right: MemberVersion): number {
  return left.incarnation - right.incarnation || left.revision - right.revision || left.health - right.health
}

const STATE_OF_HEALTH: Readonly<Record<MemberHealth, NodeState>> = {
  [MemberHealth.Alive]: NodeState.Alive,
  [MemberHealth.Suspect]: NodeState.Suspect,
  [MemberHealth.Dead]: NodeState.Dead,
  [MemberHealth.Left]: NodeState.Left
}

/** The state exposed to other packages. A suspected node that drains stays draining: it must not return to the directory. */
export function stateOf (record: MemberRecord): NodeState {
  const living = record.health <= MemberHealth.Suspect
  return living && record.draining ? NodeState.Draining : STATE_OF_HEALTH[record.health]
}

export function memberOf (record: MemberRecord): NodeMember {
  return {
    node: record.node,
    incarnation: record.incarnation,
    region: record.region,
    failureDomain: record.failureDomain,
    meshAddress: record.meshAddress,
    entryAddress: record.entryAddress,
    adminAddress: record.adminAddress,
    state: stateOf(record)
  }
}

/** Alive or suspect: the node still gets links and counts as a member. */
export function isLiving (record: Pick<MemberRecord, 'health'>): boolean {
  return record.health <= MemberHealth.Suspect
}

/** Hash of a member's version; the digest is the exclusive or over all members. */
export function hashMemberVersion (version: MemberVersion): number {
  return hashText(`${version.node}\u0000${version.incarnation}\u0000${version.revision}\u0000${version.health}`)
}
