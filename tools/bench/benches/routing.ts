import type { Figure } from '../Figure.js'
import { measureFaults } from '../routing/measureFaults.js'
import { measureOverhead } from '../routing/measureOverhead.js'

/**
 * Compares the entry program with direct requests and with a naive round-robin router.
 * @param seed The seed of the stand-ins.
 * @returns The figures.
 */
export async function runBench (seed: number): Promise<Figure[]> {
  return [...await measureOverhead(seed), ...await measureFaults(seed)]
}
