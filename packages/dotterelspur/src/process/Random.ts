import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A seeded random number generator. Functions that make random decisions take one as an argument, so that a run can be reproduced. */
export interface Random {
  /** Uniform in [0, 1). */
  next (): number
  /** Uniform integer in [0, bound). */
  integer (bound: number): number
}

const UINT32_RANGE = 0x1_0000_0000

/** Creates a generator that produces the same sequence for the same seed. */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  const next = (): number => (generator.next() >>> 0) / UINT32_RANGE
  return {
    next,
    integer: (bound) => Math.floor(next() * bound)
  }
}

/** Returns one of `items`, chosen uniformly; undefined if there are none. */
export function pick<Item> (random: Random, items: readonly Item[]): Item | undefined {
  return items[random.integer(items.length)]
}
