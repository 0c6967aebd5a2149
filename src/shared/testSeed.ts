/** The seed of randomized tests when `PAPAYAMOOR_TEST_SEED` is not set. */
const DEFAULT_TEST_SEED = 20261204

/**
 * Returns the seed of every randomized test.
 * @returns The value of `PAPAYAMOOR_TEST_SEED`, or a fixed default.
 */
export function getTestSeed (): number {
  return Number(process.env.PAPAYAMOOR_TEST_SEED ?? DEFAULT_TEST_SEED)
}
