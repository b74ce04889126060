import { hashText } from '../../process/rendezvous.js'
import { TargetKind, type RouteTarget } from './RouteTarget.js'
import type { TargetRecord } from './TargetRecord.js'

interface Point {
  readonly position: number
  readonly record: TargetRecord
}

const POINTS_PER_TARGET = 40

/**
 * Consistent hash ring over the targets of one lane. Nodes with the same set of targets build the same ring, so
 * they route prompts with the same prefix to the same group without exchanging messages. Removing a target remaps
 * only the keys of that target.
 */
export class HashRing {
  private readonly points: readonly Point[]

  constructor (records: readonly TargetRecord[]) {
    this.points = records
      .flatMap((record) => pointsOf(record))
      .sort((left, right) => left.position - right.position)
  }

  /**
   * Walks the ring from the key's position and returns the first target that `accepts`; undefined if none is accepted.
   */
  find (key: number, accepts: (record: TargetRecord) => boolean): TargetRecord | undefined {
    const start = this.lowerBound(key)
    const rejected = new Set<TargetRecord>()
    for (let step = 0; step < this.points.length; step++) {
      const { record } = this.points[(start + step) % this.points.length]!
      if (rejected.has(record)) continue
      if (accepts(record)) return record
      rejected.add(record)
    }
    return undefined
  }

  private lowerBound (key: number): number {
    let low = 0
    let high = this.points.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.points[middle]!.position < key) low = middle + 1
      else high = middle
    }
    return low
  }
}

function pointsOf (record: TargetRecord): Point[] {
  const name = stableName(record.target)
  return Array.from({ length: POINTS_PER_TARGET }, (_, index) => ({ position: hashText(`${name}#${index}`), record }))
}

/** Excludes the formation and the incarnation, so that a restarted target returns to its former ring positions. */
function stableName (target: RouteTarget): string {
  return target.kind === TargetKind.Group ? target.group : target.vm
}
