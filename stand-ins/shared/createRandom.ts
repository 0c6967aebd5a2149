import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/**
 * Creates a seeded random number generator.
 * @param seed The seed.
 * @returns A function that returns numbers from 0, inclusive, to 1, exclusive.
 */
export function createRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => (generator.next() >>> 0) / 0x100000000
}
