import { hashText, type Random } from 'dotterelspur'
import { BLOCK_TOKENS } from './PrefixCache.js'

export interface WorkloadShape {
  /** Distinct prompt prefixes; how often each is used follows Zipf's law with this exponent. */
  readonly prefixes: number
  readonly zipfExponent: number
  readonly shortestPrefixBlocks: number
  readonly longestPrefixBlocks: number
  readonly shortestSuffixTokens: number
  readonly longestSuffixTokens: number
  /** Answer lengths are log-normal. */
  readonly meanOutputTokens: number
  readonly outputSigma: number
  readonly longestOutputTokens: number
}

export const DEFAULT_WORKLOAD_SHAPE: WorkloadShape = {
  prefixes: 400,
  zipfExponent: 1,
  shortestPrefixBlocks: 2,
  longestPrefixBlocks: 12,
  shortestSuffixTokens: 50,
  longestSuffixTokens: 400,
  meanOutputTokens: 400,
  outputSigma: 0.8,
  longestOutputTokens: 2_000
}

export interface SimulatedRequest {
  readonly prefixHashes: readonly number[]
  readonly promptTokens: number
  readonly outputTokens: number
}

/** Draws requests of a workload; the same seed gives the same requests whatever the policy. */
export class Workload {
  private readonly cumulative: readonly number[]
  private readonly prefixes: ReadonlyArray<readonly number[]>

  constructor (private readonly shape: WorkloadShape, private readonly random: Random) {
    const weights = Array.from({ length: shape.prefixes }, (_, rank) => 1 / (rank + 1) ** shape.zipfExponent)
    let sum = 0
    this.cumulative = weights.map((weight) => (sum += weight))
    this.prefixes = weights.map((_, rank) => this.drawPrefix(rank))
  }

  next (): SimulatedRequest {
    const { shortestSuffixTokens, longestSuffixTokens } = this.shape
    const prefixHashes = this.prefixes[this.drawRank()]!
    const suffixTokens = shortestSuffixTokens + this.random.integer(longestSuffixTokens - shortestSuffixTokens + 1)
    return { prefixHashes, promptTokens: prefixHashes.length * BLOCK_TOKENS + suffixTokens, outputTokens: this.drawOutput() }
  }

  private drawPrefix (rank: number): readonly number[] {
    const { shortestPrefixBlocks, longestPrefixBlocks } = this.shape
    const blocks = shortestPrefixBlocks + this.random.integer(longestPrefixBlocks - shortestPrefixBlocks + 1)
    return Array.from({ length: blocks }, (_, block) => hashText(`prefix ${rank} block ${block}`))
  }

  private drawRank (): number {
    const value = this.random.next() * this.cumulative.at(-1)!
    let low = 0
    let high = this.cumulative.length - 1
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.cumulative[middle]! < value) low = middle + 1
      else high = middle
    }
    return low
  }

  private drawOutput (): number {
    const { meanOutputTokens, outputSigma, longestOutputTokens } = this.shape
    const location = Math.log(meanOutputTokens) - outputSigma ** 2 / 2
    const tokens = Math.exp(location + outputSigma * drawNormal(this.random))
    return Math.max(1, Math.min(longestOutputTokens, Math.round(tokens)))
  }
}

/** Time to the next arrival of a Poisson process. */
export function drawIntervalMs (random: Random, perSecond: number): number {
  return -Math.log(1 - random.next()) * 1_000 / perSecond
}

function drawNormal (random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()))
  return radius * Math.cos(2 * Math.PI * random.next())
}
