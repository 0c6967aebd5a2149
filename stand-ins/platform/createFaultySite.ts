import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { createRandom } from '../shared/createRandom.js'
import { EmulatedSite } from './EmulatedSite.js'
import { SiteFaults, type SiteFault, type SiteFaultKind } from './SiteFaults.js'

/** A site on which faults are played. */
export interface FaultySite {
  clock: VirtualClock
  site: EmulatedSite
  faults: SiteFaults
  /** Starts a fault of 3 s on the first thing that fits, where the changes do not say otherwise. */
  start (kind: SiteFaultKind, changes?: Partial<SiteFault>): void
}

/**
 * Creates a site of three instances and six workers that has had an owner for a while.
 * @param seed The seed of all random numbers.
 * @returns The site and its faults.
 */
export async function createFaultySite (seed = 1): Promise<FaultySite> {
  const clock = VirtualClock.create()
  const random = createRandom(seed)
  const site = EmulatedSite.create({ clock, random, instanceCount: 3, workerCount: 6 })
  const faults = SiteFaults.create({ site, clock, random })
  await clock.advance(3000)
  return {
    clock,
    site,
    faults,
    start: (kind, changes) =>
      faults.start({ kind, target: 0, count: 1, durationMilliseconds: 3000, variant: 0, ...changes })
  }
}
