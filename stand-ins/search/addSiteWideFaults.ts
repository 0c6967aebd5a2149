import { SITE_WIDE_FAULT_KINDS, type SiteFault } from '../platform/SiteFaults.js'
import { SearchRandom } from './SearchRandom.js'
import type { SearchSchedule } from './SearchSchedule.js'

const START_MILLISECONDS = 2000
const LASTING_MILLISECONDS = 40_000
const LASTING_SHARE = 0.7
const FAULT_COUNT_LIMIT = 2
/** Spreads neighbouring seeds, whose first random numbers are close to each other. */
const SEED_FACTOR = 0x9e3779b1

/**
 * Adds faults of all workers or of the store to a play. They are drawn from a source of their own, so that the other
 * faults and the jobs are those of the play without them.
 * @param schedule The play.
 * @returns The play with one or more further faults, most of which last until the jobs were judged.
 */
export function addSiteWideFaults (schedule: SearchSchedule): SearchSchedule {
  const random = SearchRandom.create(Math.imul(schedule.seed, SEED_FACTOR))
  const kinds = Array.from({ length: random.integer(1, FAULT_COUNT_LIMIT) }, () => random.choose(SITE_WIDE_FAULT_KINDS))
  const added = [...new Set(kinds)].map((kind): SiteFault => ({
    kind, target: random.integer(0, 99), count: 1, durationMilliseconds: 0, variant: random.integer(0, 99)
  }))
  const endAt = START_MILLISECONDS + schedule.lengthMilliseconds
  const faults = added.map(fault => {
    const atMilliseconds = random.integer(START_MILLISECONDS, endAt - 200)
    return { ...fault, atMilliseconds, durationMilliseconds: endAt - atMilliseconds }
  })
  const lasting = random.isTrue(LASTING_SHARE)
    ? added.map(fault => ({ ...fault, durationMilliseconds: LASTING_MILLISECONDS }))
    : []
  return {
    ...schedule,
    faults: [...schedule.faults, ...faults].sort((left, right) => left.atMilliseconds - right.atMilliseconds),
    lasting: [...schedule.lasting, ...lasting]
  }
}
