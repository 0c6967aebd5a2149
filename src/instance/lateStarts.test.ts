import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { VirtualClock } from '../shared/VirtualClock.js'

const WORKER_COUNT = 6
const TASKS_PER_JOB = 6
const TASK_MILLISECONDS = 800
const SUBMISSION_INTERVAL_MILLISECONDS = 250
const LATENESS = { lateMilliseconds: 2000, latenessSpreadMilliseconds: 10_000 }
const DOWN_MILLISECONDS = 500
const CUT_MILLISECONDS = 5000
/** The time in which all late orders are executed. */
const AFTERWARDS_MILLISECONDS = 20_000
const SEEDS = Array.from({ length: 10 }, (_, index) => index + 1)

interface LateOrders {
  /** The share of the orders that are executed late. */
  share: number
  /** How long they are before a worker is cut off and crashes. */
  milliseconds: number
}

/** Plays a site whose workers execute some orders late, while one of them starts again behind a cut. */
async function play ({ share, milliseconds }: LateOrders, seed: number): Promise<string[]> {
  const clock = VirtualClock.create()
  const site = EmulatedSite.create({ clock, random: createRandom(seed), instanceCount: 3, workerCount: WORKER_COUNT })
  const workers = [...site.workers.values()]
  let jobCount = 0
  const advance = async (milliseconds: number): Promise<void> => {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += SUBMISSION_INTERVAL_MILLISECONDS) {
      site.submit(`short${jobCount++}`, [{ taskCount: TASKS_PER_JOB }], { durationMilliseconds: TASK_MILLISECONDS })
      await clock.advance(SUBMISSION_INTERVAL_MILLISECONDS)
    }
  }
  await clock.advance(4000)
  for (const { faults } of workers) Object.assign(faults, { ...LATENESS, lateShare: share })
  await advance(milliseconds)
  const [[crashedId, crashed]] = site.workers
  crashed.faults.cutOff = true
  site.crashWorker(crashedId)
  await advance(DOWN_MILLISECONDS)
  for (const { faults } of workers) faults.lateShare = 0
  site.restartWorker(crashedId)
  await advance(CUT_MILLISECONDS - DOWN_MILLISECONDS)
  crashed.faults.cutOff = false
  await clock.advance(AFTERWARDS_MILLISECONDS)
  for (const worker of workers) worker.shutDown()
  return site.judge.violations.map(violation => `seed ${seed}: ${violation}`)
}

const CASES: LateOrders[] = [
  { share: 0.5, milliseconds: 5000 },
  { share: 0.055, milliseconds: 5000 },
  { share: 0.5, milliseconds: 1500 }
]

// TWICE: a worker that had started again executed a start for its earlier process after the task was done.
for (const lateOrders of CASES) {
  const { share, milliseconds } = lateOrders
  const title = `no task runs twice when a later process executes ${share} of the starts of ${milliseconds} ms`
  test(title, async () => {
    const violations: string[] = []
    for (const seed of SEEDS) violations.push(...await play(lateOrders, seed))
    assert.deepEqual(violations, [])
  })
}
