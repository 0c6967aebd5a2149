import type { InstanceResources } from './OwnerElection.js'

/** Reading a configuration of some thousand queues takes longer than a second over a slower link. */
const SLOW_LINK_MEGABITS_PER_SECOND = 50
const SLOW_LINK_DELAY_MILLISECONDS = 250
/** The delay of an instance without any processor time, in proportion to what it lacks of one processor. */
const LOW_PROCESSOR_DELAY_MILLISECONDS = 150

/**
 * Returns how much later than one with many resources an instance reads a large table for the others.
 * @param resources The resources of the instance.
 * @returns The delay in milliseconds.
 */
export function getPublishingDelay (resources: InstanceResources): number {
  const processorDelay = (1 - Math.min(1, resources.processors)) * LOW_PROCESSOR_DELAY_MILLISECONDS
  const isSlow = resources.linkMegabitsPerSecond < SLOW_LINK_MEGABITS_PER_SECOND
  return processorDelay + (isSlow ? SLOW_LINK_DELAY_MILLISECONDS : 0)
}
