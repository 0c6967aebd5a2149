import type { VirtualClock } from '../../src/shared/VirtualClock.js'
import type { EmulatedSite } from './EmulatedSite.js'
import type { LastingFaults } from './LastingFaults.js'
import type { SiteFault, SiteFaultKind } from './SiteFaultKind.js'

/** What all faults of a site share. */
export interface SiteFaultContext {
  site: EmulatedSite
  clock: VirtualClock
  random: () => number
  lasting: LastingFaults
  /** Adds a worker that is like another one. */
  addWorker (workerId: string, otherId: string): void
}

/** How the faults of some kinds are started. */
export type FaultStarters = Partial<Record<SiteFaultKind, (fault: SiteFault) => void>>

/**
 * Chooses neighbours in a list, which continues at its start.
 * @param items The list.
 * @param target The position of the first one, modulo the length of the list.
 * @param count The number of items.
 * @returns The items, all of them at most once.
 */
export function chooseNeighbours<Item> (items: Item[], target: number, count: number): Item[] {
  return Array.from({ length: Math.min(count, items.length) }, (_, index) => items[(target + index) % items.length])
}

/**
 * Chooses one of the forms of a kind.
 * @param forms The forms.
 * @param variant Selects one, modulo their number.
 * @returns The form.
 */
export function chooseForm<Form> (forms: readonly Form[], variant: number): Form {
  return forms[variant % forms.length]
}
