import type { WorkspaceId } from '../../process/ids.js'
import { hashText } from '../../process/rendezvous.js'
import type { Manifest } from '../../version/manifest/Manifest.js'
import { DecayedSum } from './DecayedSum.js'
import type { PoolKey } from './FleetObservation.js'

/** The kind of caller that a request comes from, by which an overloaded pool weighs requests against each other. */
export interface RequestClass {
  /** 0 is the most urgent; a workspace's rank takes precedence over the route's. */
  readonly rank: number
  /** Null where requests need no key. */
  readonly workspace: WorkspaceId | null
}

/** Identifies a workspace in observations: a 32-bit hash of its name, which takes five bytes on the wire. */
export type WorkspaceCode = number

/** Recent requests of one class for a pool; decays with `CLASS_HALF_LIFE_MS`. */
export interface ClassSample {
  readonly rank: number
  /** Null for the remainder of the rank: all workspaces that are not listed by themselves. */
  readonly workspace: WorkspaceCode | null
  readonly requests: number
}

/** Demand by class, by pool. Absent in observations of nodes of the previous build. */
export type ClassSamples = Readonly<Record<PoolKey, readonly ClassSample[]>>

/**
 * Demand by class is averaged over this time. The standard error of a decayed count of 10 requests per second is 12%,
 * so a workspace of that size is known with an error below a quarter in 19 of 20 rounds.
 */
export const CLASS_HALF_LIFE_MS = 2_500
/** Classes that a node and the aggregate list by themselves, for each pool; the others are part of their rank's remainder. */
const MAX_CLASSES = { node: 16, fleet: 32 } as const
/**
 * Bounds of the field with many pools, in classes over all of them: with the ten bytes of a class, they keep a node's
 * observation below 0.5 KB and the aggregate below 1.2 KB.
 */
const MAX_CLASSES_OF_ALL_POOLS = { node: 42, fleet: 96 } as const
/** Less urgent ranks count as this one. */
export const MAX_RANK = 99
/** A class with less than this decayed count is dropped: its last request was some 20 s ago. */
const MIN_REQUESTS = 0.005
/** Upper bound of the decayed count that one node may report for a class: more than the whole fleet receives. */
const MAX_REQUESTS = 10_000

/** The code of requests without a workspace. */
const NO_WORKSPACE: WorkspaceCode = 0

export function workspaceCode (workspace: WorkspaceId | null): WorkspaceCode {
  return workspace === null ? NO_WORKSPACE : hashText(workspace)
}

/** The rank as it is counted: a whole number from 0 to `MAX_RANK`. */
export function countedRank (rank: number): number {
  return Number.isNaN(rank) ? MAX_RANK : Math.max(0, Math.min(MAX_RANK, Math.round(rank)))
}

/** Whether requests can differ in class at all: where they cannot, nodes neither count nor share the demand by class. */
export function hasSeveralClasses ({ routes, workspaces }: Pick<Manifest, 'routes' | 'workspaces'>): boolean {
  const ranks = new Set([...routes.map(({ priority }) => priority), ...workspaces.map(({ priority }) => priority).filter((priority) => priority !== null)])
  return workspaces.length > 1 || ranks.size > 1
}

/** The samples of another node or of the aggregate without those that no correct node sends. */
export function validClassSamples (samples: readonly ClassSample[]): ClassSample[] {
  return samples
    .filter(({ rank, workspace, requests }) => Number.isInteger(rank) && rank >= 0 && rank <= MAX_RANK && (workspace === null || (Number.isInteger(workspace) && workspace >= 0)) && requests > 0)
    .map((sample) => ({ ...sample, requests: Math.min(MAX_REQUESTS, sample.requests) }))
}

/** The sum of several nodes' samples; undefined where none of them sends any. */
export function addClassSamples (all: ReadonlyArray<ClassSamples | undefined>): ClassSamples | undefined {
  const present = all.filter((samples) => samples !== undefined)
  if (present.length === 0) return undefined
  const byPool = new Map<PoolKey, ClassSample[]>()
  for (const [pool, samples] of present.flatMap((each) => Object.entries(each))) {
    const known = byPool.get(pool)
    if (known === undefined) byPool.set(pool, validClassSamples(samples))
    else known.push(...validClassSamples(samples))
  }
  const limit = classLimit(MAX_CLASSES.fleet, MAX_CLASSES_OF_ALL_POOLS.fleet, byPool.size)
  return Object.fromEntries([...byPool].map(([pool, samples]) => [pool, heaviestClasses(samples, limit)]))
}

function classLimit (maxOfPool: number, maxOfAll: number, pools: number): number {
  return Math.min(maxOfPool, Math.floor(maxOfAll / Math.max(1, pools)))
}

/** The `limit` classes with the most requests, and a remainder for each rank of the others. */
function heaviestClasses (samples: readonly ClassSample[], limit: number): ClassSample[] {
  const sums = new Map<string, ClassSample>()
  for (const { rank, workspace, requests } of samples) addTo(sums, rank, workspace, requests)
  const listed = [...sums.values()].filter(({ workspace }) => workspace !== null).sort(byRequests)
  for (const { rank, requests } of listed.splice(limit)) addTo(sums, rank, null, requests)
  return [...listed, ...[...sums.values()].filter(({ workspace }) => workspace === null)]
}

function addTo (sums: Map<string, ClassSample>, rank: number, workspace: WorkspaceCode | null, requests: number): void {
  const key = `${rank} ${workspace}`
  sums.set(key, { rank, workspace, requests: requests + (sums.get(key)?.requests ?? 0) })
}

function byRequests (left: ClassSample, right: ClassSample): number {
  return right.requests - left.requests || left.rank - right.rank || Number(left.workspace) - Number(right.workspace)
}

interface CountedClass {
  readonly rank: number
  readonly workspace: WorkspaceCode
  readonly requests: DecayedSum
}

/** Counts this node's arrivals by pool and class. */
export class ClassDemandMeter {
  private readonly pools = new Map<PoolKey, Map<string, CountedClass>>()

  /** Counts a request that can still be on time. */
  noteArrival (pool: PoolKey, { rank, workspace }: RequestClass, nowMs: number): void {
    let classes = this.pools.get(pool)
    if (classes === undefined) this.pools.set(pool, classes = new Map())
    const code = workspaceCode(workspace)
    const counted = countedRank(rank)
    const key = `${counted} ${code}`
    let sum = classes.get(key)
    if (sum === undefined) classes.set(key, sum = { rank: counted, workspace: code, requests: new DecayedSum(CLASS_HALF_LIFE_MS) })
    sum.requests.add(1, nowMs)
  }

  /** What this node reports to the others; undefined where it has nothing to report. */
  localObservation (nowMs: number): ClassSamples | undefined {
    this.evict(nowMs)
    if (this.pools.size === 0) return undefined
    const limit = classLimit(MAX_CLASSES.node, MAX_CLASSES_OF_ALL_POOLS.node, this.pools.size)
    return Object.fromEntries([...this.pools].map(([pool, classes]) => {
      const samples = [...classes.values()].map(({ rank, workspace, requests }) => ({ rank, workspace, requests: requests.at(nowMs) }))
      return [pool, heaviestClasses(samples, limit)]
    }))
  }

  /** The ranks of this node's recent requests for a pool, the most urgent first. */
  ranks (pool: PoolKey, nowMs: number): number[] {
    this.evict(nowMs)
    const classes = this.pools.get(pool)?.values() ?? []
    return [...new Set([...classes].map(({ rank }) => rank))].sort((left, right) => left - right)
  }

  /** Forgets all counts, where a new manifest has a single class. */
  clear (): void {
    this.pools.clear()
  }

  private evict (nowMs: number): void {
    for (const [pool, classes] of this.pools) {
      for (const [key, { requests }] of classes) {
        if (requests.at(nowMs) < MIN_REQUESTS) classes.delete(key)
      }
      if (classes.size === 0) this.pools.delete(pool)
    }
  }
}
