import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import type { WorkerFaults } from '../../stand-ins/platform/WorkerFaults.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { isKnownRed } from '../../tools/demo/isKnownRed.js'
import { VirtualClock } from '../shared/VirtualClock.js'

const WORKER_COUNT = 40
const TASKS_PER_JOB = 10
const SUBMISSION_INTERVAL_MILLISECONDS = 500
const LOSS_MILLISECONDS = 40_000
const SAMPLE_MILLISECONDS = 100
/** Urgent work must start within this time. */
const URGENT_START_MILLISECONDS = 8900
const SEEDS = [1, 2, 3]

interface Measures {
  taskCount: number
  medianStartMilliseconds: number
  longestStartMilliseconds: number
  startCount: number
  violations: string[]
}

/** Submits jobs while the workers lose responses to orders, and measures the time until each task first runs. */
async function play (faults: Partial<WorkerFaults>, seed: number): Promise<Measures> {
  const clock = VirtualClock.create()
  const site = EmulatedSite.create({
    clock,
    random: createRandom(seed),
    instanceCount: 3,
    workerCount: WORKER_COUNT,
    processorTime: { share: 2, expiredCalls: 'leaves-queue' }
  })
  await clock.advance(4000)
  for (const worker of site.workers.values()) Object.assign(worker.faults, faults)
  const submittedAt = new Map<string, number>()
  const startMilliseconds: number[] = []
  for (let elapsed = 0; elapsed < LOSS_MILLISECONDS + URGENT_START_MILLISECONDS; elapsed += SAMPLE_MILLISECONDS) {
    if (elapsed < LOSS_MILLISECONDS && elapsed % SUBMISSION_INTERVAL_MILLISECONDS === 0) {
      const jobId = `short${elapsed}`
      site.submit(jobId, [{ taskCount: TASKS_PER_JOB }])
      for (let index = 0; index < TASKS_PER_JOB; index++) {
        submittedAt.set(`${jobId}.0.0.${index}`, clock.monotonicMilliseconds())
      }
    }
    await clock.advance(SAMPLE_MILLISECONDS)
    for (const [taskName, at] of submittedAt) {
      if (!site.judge.lastRunWorkerIds.has(taskName)) continue
      startMilliseconds.push(clock.monotonicMilliseconds() - at)
      submittedAt.delete(taskName)
    }
  }
  for (const worker of site.workers.values()) worker.shutDown()
  for (const at of submittedAt.values()) startMilliseconds.push(clock.monotonicMilliseconds() - at)
  startMilliseconds.sort((first, second) => first - second)
  return {
    taskCount: startMilliseconds.length,
    medianStartMilliseconds: startMilliseconds[Math.floor(startMilliseconds.length / 2)],
    longestStartMilliseconds: startMilliseconds[startMilliseconds.length - 1],
    startCount: site.judge.startCount,
    violations: site.judge.violations
  }
}

const CASES: Array<{ title: string, faults: Partial<WorkerFaults> }> = [
  { title: 'no response is lost', faults: {} },
  { title: 'eight in ten are executed without a response', faults: { lostAnswerShare: 0.8 } },
  ...[700, 1500, 4000].map(lateMilliseconds => ({
    title: `eight in ten get no response and are executed ${lateMilliseconds / 1000} s later`,
    faults: { lateShare: 0.8, lateMilliseconds }
  }))
]

for (const { title, faults } of CASES) {
  const testTitle = `urgent tasks start in time, and none twice, when of the orders ${title}`
  test(testTitle, { todo: isKnownRed(testTitle) }, async context => {
    const failures: string[] = []
    for (const seed of SEEDS) {
      const measures = await play(faults, seed)
      context.diagnostic(`seed ${seed}: ${JSON.stringify(measures)}`)
      failures.push(...measures.violations.map(violation => `${violation} with seed ${seed}`))
      if (measures.longestStartMilliseconds > URGENT_START_MILLISECONDS) {
        failures.push(`a start took ${measures.longestStartMilliseconds} ms with seed ${seed}`)
      }
    }
    assert.deepEqual(failures, [])
  })
}
