import type { SearchSchedule } from './SearchSchedule.js'

/** The lists of a schedule that are made shorter, those that matter least first. */
const LISTS = ['faults', 'lasting', 'closing', 'accountVersions', 'jobs', 'workers'] as const

/**
 * Makes a schedule smaller as long as it still shows a failure.
 * @param schedule The schedule.
 * @param hasFailure Plays a schedule and returns whether it shows the failure.
 * @returns A schedule from which no single fault, job or worker can be left out.
 */
export async function reduceSchedule (
  schedule: SearchSchedule, hasFailure: (schedule: SearchSchedule) => Promise<boolean>
): Promise<SearchSchedule> {
  let reduced = schedule
  for (let isSmaller = true; isSmaller;) {
    isSmaller = false
    for (const name of LISTS) {
      for (let index = reduced[name].length - 1; index >= 0; index--) {
        const candidate = { ...reduced, [name]: reduced[name].filter((_: unknown, other: number) => other !== index) }
        if (candidate.workers.length === 0 || !await hasFailure(candidate)) continue
        reduced = candidate
        isSmaller = true
      }
    }
  }
  return reduced
}
