import { chooseForm } from '../platform/SiteFaultContext.js'
import type { SiteFault, SiteFaultKind } from '../platform/SiteFaults.js'
import { SearchRandom } from './SearchRandom.js'
import type { ScheduledFault, SearchSchedule } from './SearchSchedule.js'

const START_MILLISECONDS = 2000
/** The time from one restart to the next: workers start again only while all of them are reached. */
const RESTART_INTERVAL_MILLISECONDS = 13_000
const RESTARTED_WORKER_LIMIT = 6
/** The share of the plays in which calls to all workers are executed late. */
const LATE_CALLS_SHARE = 0.8
/** Selects the duration of a restart. */
const TARGET_LIMIT = 9999
/** Spreads neighbouring seeds, whose first random numbers are close to each other. */
const SEED_FACTOR = 0x85ebca6b
/** The variants of late calls that affect renewals only. */
const LATE_REPORT_VARIANTS = [7, 8, 9, 10, 11, 12, 13] as const
/** The kinds of faults that keep processes of workers from being reached. */
const UNREACHED_KIND = /^(worker|rack|data-centre-crash|instance-isolation)/

/**
 * Replaces the faults of workers in a play by restarts after which workers are unreachable for longer than a lease, and
 * by calls that are executed late, by a later process of their worker too. They are drawn from a source of their own,
 * so that the other faults and the jobs are those of the play without them.
 * @param schedule The play.
 * @param lateCalls The calls that are executed late; drawn by default.
 * @returns The play with the restarts.
 */
export function addRestartFaults (schedule: SearchSchedule, lateCalls: 'drawn' | 'reports' = 'drawn'): SearchSchedule {
  const random = SearchRandom.create(Math.imul(schedule.seed, SEED_FACTOR))
  const endAt = START_MILLISECONDS + schedule.lengthMilliseconds
  const restarts: ScheduledFault[] = []
  let atMilliseconds = START_MILLISECONDS + random.integer(1000, RESTART_INTERVAL_MILLISECONDS)
  for (; atMilliseconds < endAt; atMilliseconds += RESTART_INTERVAL_MILLISECONDS) {
    restarts.push({ ...createFault(random, 'worker-return-cut', 0), atMilliseconds })
  }
  const hasLateCalls = random.isTrue(LATE_CALLS_SHARE)
  const late = createFault(random, 'workers-execute-late', schedule.lengthMilliseconds)
  const variant = lateCalls === 'reports' ? chooseForm(LATE_REPORT_VARIANTS, late.variant) : late.variant
  const lateFaults = hasLateCalls ? [{ ...late, variant, atMilliseconds: START_MILLISECONDS }] : []
  const others = schedule.faults.filter(({ kind }) => !UNREACHED_KIND.test(kind))
  return {
    ...schedule,
    faults: [...others, ...restarts, ...lateFaults].sort((left, right) => left.atMilliseconds - right.atMilliseconds),
    lasting: schedule.lasting.filter(({ kind }) => !UNREACHED_KIND.test(kind))
  }
}

function createFault (random: SearchRandom, kind: SiteFaultKind, durationMilliseconds: number): SiteFault {
  return {
    kind,
    target: random.integer(0, TARGET_LIMIT),
    count: random.integer(1, RESTARTED_WORKER_LIMIT),
    durationMilliseconds,
    variant: random.integer(0, 99)
  }
}
