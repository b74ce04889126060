import type { Clock } from '../Clock.js'
import type { Teardown } from '../Teardown.js'
import type { CallerLoadLimits } from './callerLimits.js'
import { ConnectionLoad, type LoadedConnection } from './ConnectionLoad.js'

/** Why a connection is closed before its caller or this node is done with it. */
export enum ShedReason {
  /** Another caller connects, and no more connections are held. */
  Connections = 'connections',
  /** All callers together hold too much. */
  Memory = 'memory',
  /** The caller has neither sent nor read anything for the idle timeout, though it was its turn. */
  Stalled = 'stalled',
  /** The work of reading what callers send does not keep up, or is in vain: the request has been answered. */
  Work = 'work'
}

/** A caller that owes progress for this long gives way before callers that make some. */
const STALLED_MS = 1_000
/** A connection with a usual request holds less. */
const USUAL_BYTES = 81_920
/** Closing down to this part of the limit lets many callers arrive before connections are compared again. */
const RELIEVED_SHARE = 7 / 8
/** Refusals are fewer, since those who are refused could have been served. */
const REFUSED_SHARE = 31 / 32

/**
 * The one owner of what callers make a process hold, on all of its listeners: connections, bytes that have not been parsed, requests, bodies,
 * and responses that have not been read. Beyond a limit it closes connections: those whose callers make no progress, those that hold more than usual,
 * unused ones, and only then callers with usual requests; links between nodes last. Load pattern: callers that the operators do not control send as much as they can, and read nothing.
 */
export class CallerLoad {
  private readonly open = new Set<ConnectionLoad>()
  private readonly reliefs = new Set<() => boolean>()
  private readonly shedCounts = new Map<ShedReason, number>()
  private totalBytes = 0
  private isShedding = false

  constructor (readonly limits: CallerLoadLimits, private readonly clock: Clock) {}

  get connections (): number {
    return this.open.size
  }

  get heldBytes (): number {
    return this.totalBytes
  }

  /** Connections closed for each reason since the start. */
  shedCount (reason: ShedReason): number {
    return this.shedCounts.get(reason) ?? 0
  }

  /** @param relieve gives back memory by a refusal that its caller receives, before connections of callers that make progress are closed; false if it can't. */
  registerRelief (relieve: () => boolean): Teardown {
    this.reliefs.add(relieve)
    return () => { this.reliefs.delete(relieve) }
  }

  /** Null if the connection can't be held: all others are in use. */
  add (connection: LoadedConnection): ConnectionLoad | null {
    if (this.open.size >= this.limits.connections && !this.closeUnused()) {
      this.countShed(ShedReason.Connections)
      return null
    }
    const load = new ConnectionLoad(connection, this.clock.nowMs(), {
      resize: (changeBytes) => {
        this.totalBytes += changeBytes
        if (changeBytes > 0) this.shedExcess()
      },
      release: (released) => { this.open.delete(released) },
      nowMs: () => this.clock.nowMs()
    })
    this.open.add(load)
    load.begin()
    return load
  }

  /** Closes the connections whose callers owe progress for `timeoutMs`. */
  closeStalled (timeoutMs: number): void {
    const sinceMs = this.clock.nowMs() - timeoutMs
    for (const load of [...this.open]) {
      if (load.progressAtMs <= sinceMs && load.awaitsCaller) this.shed(load, ShedReason.Stalled)
    }
  }

  /** Something waits for memory: closes the connections that hold more than their own bytes, and whose callers make no progress. */
  makeRoom (): void {
    const sinceMs = this.clock.nowMs() - STALLED_MS
    for (const load of [...this.open]) {
      if (isStalled(load, sinceMs)) this.shed(load, ShedReason.Memory)
    }
  }

  shed (load: ConnectionLoad, reason: ShedReason): void {
    this.countShed(reason)
    load.close(reason)
  }

  /** Connections closed because of a limit since the start. */
  get shedTotal (): number {
    let total = 0
    for (const count of this.shedCounts.values()) total += count
    return total
  }

  private countShed (reason: ShedReason): void {
    this.shedCounts.set(reason, this.shedCount(reason) + 1)
  }

  /** Closes the connection without requests that has been unused for longest; one that never had a request first. */
  private closeUnused (): boolean {
    let found: ConnectionLoad | null = null
    for (const load of this.open) {
      if (load.isInUse) continue
      if (found === null || isLessUsed(load, found)) found = load
    }
    found ??= this.stalledOnes()[0] ?? null
    if (found === null) return false
    this.shed(found, ShedReason.Connections)
    return true
  }

  private stalledOnes (): ConnectionLoad[] {
    const sinceMs = this.clock.nowMs() - STALLED_MS
    return [...this.open].filter((load) => load.progressAtMs <= sinceMs && load.awaitsCaller).sort((one, other) => other.heldBytes - one.heldBytes)
  }

  private shedExcess (): void {
    const limitBytes = this.limits.heldBytes
    if (this.isShedding || this.heldBytes <= limitBytes || this.bytesBesideLargest() <= limitBytes) return
    this.isShedding = true
    const sinceMs = this.clock.nowMs() - STALLED_MS
    for (const load of this.byPrecedence()) {
      if (this.bytesBesideLargest() <= limitBytes * RELIEVED_SHARE) break
      if (!isStalled(load, sinceMs) && this.relieve()) break
      this.shed(load, ShedReason.Memory)
    }
    this.isShedding = false
  }

  /** Whether refusals alone were enough. */
  private relieve (): boolean {
    const aimBytes = this.limits.heldBytes * REFUSED_SHARE
    for (const relieve of this.reliefs) while (this.bytesBesideLargest() > aimBytes && relieve()) { /* Each call gives back a part. */ }
    return this.bytesBesideLargest() <= aimBytes
  }

  /** One connection may hold more than the limit, so that a single large body or response is served. */
  private bytesBesideLargest (): number {
    let largestBytes = 0
    for (const { heldBytes } of this.open) largestBytes = Math.max(largestBytes, heldBytes)
    return this.heldBytes - largestBytes
  }

  private byPrecedence (): ConnectionLoad[] {
    const sinceMs = this.clock.nowMs() - STALLED_MS
    const ranks = new Map([...this.open].map((load) => [load, PRECEDENCE.findIndex((matches) => matches(load, sinceMs))]))
    return [...this.open].sort((one, other) => ranks.get(one)! - ranks.get(other)! || other.heldBytes - one.heldBytes || one.progressAtMs - other.progressAtMs)
  }
}

/** Which connections are closed first while all together hold too much; the last rank takes all that are left. */
const PRECEDENCE: ReadonlyArray<(load: ConnectionLoad, stalledSinceMs: number) => boolean> = [
  isStalled,
  ({ heldBytes }) => heldBytes > USUAL_BYTES,
  ({ isInUse, wasUsed }) => !isInUse && !wasUsed,
  ({ isInUse }) => !isInUse,
  ({ isUpgraded }) => !isUpgraded,
  () => true
]

/** Whether it holds more than its own bytes for a caller that makes no progress. */
function isStalled (load: ConnectionLoad, sinceMs: number): boolean {
  return load.isLoaded && load.progressAtMs <= sinceMs && load.awaitsCaller
}

function isLessUsed (one: ConnectionLoad, other: ConnectionLoad): boolean {
  if (one.wasUsed !== other.wasUsed) return !one.wasUsed
  return one.progressAtMs < other.progressAtMs
}
