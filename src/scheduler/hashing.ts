import createXxhash from 'xxhash-wasm'

const { h64 } = await createXxhash()

/**
 * Hashes a text with xxHash64; every process computes the same hash.
 * @param text The text.
 * @returns The 64-bit hash.
 */
export function xxhash64 (text: string): bigint {
  return h64(text)
}
