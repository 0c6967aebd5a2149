import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EMULATED_WAIT, EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import type { PathLoss } from '../../stand-ins/platform/LossyPath.js'
import type { AffectedConnections } from '../../stand-ins/platform/WorkerPaths.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { isKnownRed } from '../../tools/demo/isKnownRed.js'
import { VirtualClock } from '../shared/VirtualClock.js'

const WORKER_COUNT = 40
const JOB_COUNT = 16
const TASKS_PER_JOB = 20
const TASK_MILLISECONDS = 120_000
const CANCELLATION_INTERVAL_MILLISECONDS = 1000
const EXTRA_ROUND_TRIP_MILLISECONDS = 22
const SAMPLE_MILLISECONDS = 50
/** Time after the last cancellation in which all of its effects end. */
const SETTLING_MILLISECONDS = 15_000
/** The runs of a cancelled job end within this time on a path that loses nothing. */
const CANCELLATION_LIMIT_MILLISECONDS = 4000
/** A worker whose renewals do not arrive either stops its runs by the end of its lease. */
const LEASE_MILLISECONDS = 6000
const SEEDS = [1, 2, 3, 4]

interface LossCase {
  title: string
  loss: Partial<PathLoss>
  affected?: AffectedConnections
  /** The time in which the runs of a cancelled job end. */
  limitMilliseconds: number
}

interface Measures {
  /** The time from the cancellation of a job to the end of each of its runs, ascending. */
  endMilliseconds: number[]
  violations: string[]
}

/** Cancels jobs while the path to half of the workers, where all tasks run, loses packets. */
async function play ({ loss, affected }: LossCase, seed: number): Promise<Measures> {
  const clock = VirtualClock.create()
  const site = EmulatedSite.create({
    clock,
    random: createRandom(seed),
    instanceCount: 3,
    workerCount: WORKER_COUNT,
    processorTime: { share: 2, expiredCalls: 'leaves-queue' }
  })
  await clock.advance(4000)
  site.setDataCentreOut('south-a', true)
  await clock.advance(1000)
  const jobIds = Array.from({ length: JOB_COUNT }, (_, index) => `cancelled${index}`)
  for (const jobId of jobIds) {
    site.submit(jobId, [{ taskCount: TASKS_PER_JOB }], { durationMilliseconds: TASK_MILLISECONDS })
  }
  await clock.advance(4000)
  site.setDataCentreOut('south-a', false)
  const runningBefore = site.judge.getRunningTasks()
  assert.equal(runningBefore.length, JOB_COUNT * TASKS_PER_JOB)
  for (const [workerId, paths] of site.paths) {
    if (Number(workerId.split('-')[1]) % 2 === 0) continue
    paths.setExtraRoundTrip(EXTRA_ROUND_TRIP_MILLISECONDS)
    paths.setLoss(loss, affected)
  }
  const cancelledAt = new Map<string, number>()
  const endedAt = new Map<string, number>()
  const duration = JOB_COUNT * CANCELLATION_INTERVAL_MILLISECONDS + SETTLING_MILLISECONDS
  for (let elapsed = 0; elapsed < duration; elapsed += SAMPLE_MILLISECONDS) {
    const jobId = jobIds[elapsed / CANCELLATION_INTERVAL_MILLISECONDS]
    if (jobId !== undefined) {
      site.chooseInstance().instance.gateway.cancel(jobId, EMULATED_WAIT).then(outcome => {
        assert.deepEqual(outcome, { kind: 'cancelled' })
        cancelledAt.set(jobId, clock.monotonicMilliseconds())
      })
    }
    await clock.advance(SAMPLE_MILLISECONDS)
    const running = new Set(site.judge.getRunningTasks())
    for (const taskName of runningBefore) {
      if (!running.has(taskName) && !endedAt.has(taskName)) endedAt.set(taskName, clock.monotonicMilliseconds())
    }
  }
  for (const worker of site.workers.values()) worker.shutDown()
  const endMilliseconds = runningBefore
    .map(taskName => (endedAt.get(taskName) ?? Infinity) - cancelledAt.get(taskName.split('.', 1)[0])!)
    .sort((first, second) => first - second)
  return { endMilliseconds, violations: site.judge.violations }
}

const LOSSY_LIMIT_MILLISECONDS = LEASE_MILLISECONDS + CANCELLATION_LIMIT_MILLISECONDS
const CASES: LossCase[] = [
  { title: 'no packet is lost', loss: {}, limitMilliseconds: CANCELLATION_LIMIT_MILLISECONDS },
  ...[1, 3, 5].map(count => ({
    title: `${count} packets in ten are lost in both directions`,
    loss: { toWorker: count / 10, fromWorker: count / 10 },
    limitMilliseconds: LOSSY_LIMIT_MILLISECONDS
  })),
  {
    title: 'five packets in ten are lost on the way from the workers',
    loss: { fromWorker: 0.5 },
    limitMilliseconds: LOSSY_LIMIT_MILLISECONDS
  },
  {
    title: 'five packets in ten of the holds only are lost',
    loss: { toWorker: 0.5, fromWorker: 0.5 },
    affected: 'holds',
    limitMilliseconds: LOSSY_LIMIT_MILLISECONDS
  },
  {
    title: 'five packets in ten of the orders only are lost',
    loss: { toWorker: 0.5, fromWorker: 0.5 },
    affected: 'orders',
    limitMilliseconds: LOSSY_LIMIT_MILLISECONDS
  }
]

for (const lossCase of CASES) {
  const title = `the runs of a cancelled job end in time when ${lossCase.title}`
  test(title, { todo: isKnownRed(title) }, async context => {
    const failures: string[] = []
    for (const seed of SEEDS) {
      const { endMilliseconds, violations } = await play(lossCase, seed)
      const [median, most, longest] = [0.5, 0.95, 1].map(share =>
        endMilliseconds[Math.ceil(endMilliseconds.length * share) - 1])
      const lateCount = endMilliseconds.filter(milliseconds => milliseconds > CANCELLATION_LIMIT_MILLISECONDS).length
      const measures = { median, most, longest, lateCount, runs: endMilliseconds.length }
      context.diagnostic(`seed ${seed}: ${JSON.stringify(measures)}`)
      failures.push(...violations.map(violation => `${violation} with seed ${seed}`))
      if (longest > lossCase.limitMilliseconds) {
        failures.push(`a cancelled run went on for ${longest} ms with seed ${seed}`)
      }
    }
    assert.deepEqual(failures, [])
  })
}
