import type { NodeId } from '../../process/ids.js'
import type { NodeMember } from '../MeshApi.js'
import { compareMemberVersions, hashMemberVersion, isLiving, memberOf, MemberHealth, type MemberRecord, type MemberVersion } from './MemberRecord.js'
import type { MeshLimits, MeshTiming } from './MeshTiming.js'

interface HeldMember {
  readonly record: MemberRecord
  /** When this node stored the record, on its own clock: the suspicion and tombstone times count from here. */
  readonly sinceMs: number
}

/** The members known to this node. Only newer records replace older ones; this node refutes claims that it is suspect or dead. */
export class MembershipTable {
  private held: ReadonlyMap<NodeId, HeldMember> = new Map()
  private listed: readonly NodeMember[] = []
  private currentDigest = 0

  constructor (private own: MemberRecord, private readonly timing: MeshTiming, private readonly limits: MeshLimits, nowMs: number) {
    this.commit(new Map([[own.node, { record: own, sinceMs: nowMs }]]))
  }

  get self (): MemberRecord {
    return this.own
  }

  /** Exclusive or of the hashes of all stored versions: equal for two nodes with the same records. */
  get digest (): number {
    return this.currentDigest
  }

  list (): readonly NodeMember[] {
    return this.listed
  }

  records (): MemberRecord[] {
    return [...this.held.values()].map((member) => member.record)
  }

  get (node: NodeId): MemberRecord | undefined {
    return this.held.get(node)?.record
  }

  /** Stores records that are newer. Returns the changed records, including a refutation by this node. */
  merge (records: readonly MemberRecord[], nowMs: number): MemberRecord[] {
    const pending = new Map(this.held)
    const changed: MemberRecord[] = []
    for (const record of records) {
      const accepted = record.node === this.own.node ? this.refute(record) : this.accept(pending, record)
      if (accepted === undefined) continue
      pending.set(accepted.node, { record: accepted, sinceMs: nowMs })
      changed.push(accepted)
    }
    if (changed.length > 0) this.commit(pending)
    return changed
  }

  /** Changes this node's own record and raises its revision. */
  announce (change: Partial<Pick<MemberRecord, 'draining' | 'health' | 'meshAddress'>>, nowMs: number): MemberRecord {
    this.own = { ...this.own, ...change, revision: this.own.revision + 1 }
    this.commit(new Map(this.held).set(this.own.node, { record: this.own, sinceMs: nowMs }))
    return this.own
  }

  /** Declares suspects dead whose time to refute is over, and removes expired tombstones; returns the records that became dead. */
  expire (nowMs: number): MemberRecord[] {
    const pending = new Map(this.held)
    const dead: MemberRecord[] = []
    let forgotten = false
    for (const [node, member] of this.held) {
      if (node === this.own.node) continue
      const heldMs = nowMs - member.sinceMs
      if (member.record.health === MemberHealth.Suspect && heldMs >= this.timing.suspicionMs) {
        const record = { ...member.record, health: MemberHealth.Dead }
        pending.set(node, { record, sinceMs: nowMs })
        dead.push(record)
      } else if (!isLiving(member.record) && heldMs >= this.timing.tombstoneMs) {
        pending.delete(node)
        forgotten = true
      }
    }
    if (dead.length > 0 || forgotten) this.commit(pending)
    return dead
  }

  /** After a pause of this process: restarts the time to refute of each suspect, since refutations may be in unread messages. */
  restartSuspicions (nowMs: number): void {
    const pending = new Map(this.held)
    for (const [node, member] of this.held) {
      if (member.record.health === MemberHealth.Suspect) pending.set(node, { ...member, sinceMs: nowMs })
    }
    this.held = pending
  }

  /** Returns records that are newer than the peer's `versions` or absent from them. */
  newerThan (versions: readonly MemberVersion[]): MemberRecord[] {
    const peerHas = new Map(versions.map((version) => [version.node, version]))
    return this.records().filter((record) => {
      const theirs = peerHas.get(record.node)
      return theirs === undefined || compareMemberVersions(record, theirs) > 0
    })
  }

  private accept (pending: Map<NodeId, HeldMember>, record: MemberRecord): MemberRecord | undefined {
    const known = pending.get(record.node)
    if (known !== undefined) return compareMemberVersions(record, known.record) > 0 ? record : undefined
    if (pending.size >= this.limits.members) return undefined
    return record
  }

  /**
   * Refutes another node's claim that this process is suspect or dead, or has a later revision, with a revision above
   * that of the claim. Doesn't refute a claim about another incarnation, since that is another process.
   */
  private refute (claim: MemberRecord): MemberRecord | undefined {
    if (claim.incarnation !== this.own.incarnation) return undefined
    if (compareMemberVersions(claim, this.own) <= 0) return undefined
    this.own = { ...this.own, revision: claim.revision + 1 }
    return this.own
  }

  private commit (pending: ReadonlyMap<NodeId, HeldMember>): void {
    this.held = pending
    const records = this.records()
    this.listed = records.map(memberOf)
    this.currentDigest = records.reduce((digest, record) => (digest ^ hashMemberVersion(record)) >>> 0, 0)
  }
}
