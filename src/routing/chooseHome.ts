import createHasher from 'xxhash-wasm'

const hasher = await createHasher()

/**
 * Chooses the home of an upstream: the candidate with the highest hash of the pair. When a candidate comes or
 * goes, only the upstreams whose home it was or becomes move.
 * @param upstreamId The upstream.
 * @param candidates Identifiers of entry instances.
 * @returns The chosen identifier, or null without candidates.
 */
export function chooseHome (upstreamId: string, candidates: readonly string[]): string | null {
  let best: string | null = null
  let bestHash = -1
  for (const candidate of candidates) {
    const hash = hasher.h32(`${candidate}/${upstreamId}`)
    if (hash > bestHash || (hash === bestHash && candidate < (best ?? ''))) {
      best = candidate
      bestHash = hash
    }
  }
  return best
}
