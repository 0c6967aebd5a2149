import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { getTestSeed } from '../shared/testSeed.js'
import { DispatchEngine } from './DispatchEngine.js'
import type { ListedCompletion } from './WorkerProtocol.js'

const WORKER_COUNT = 10
const WORKER_PROCESSORS = 16
const TASK_MILLISECONDS = 2000
const STEP_MILLISECONDS = 50
const ARRIVAL_MILLISECONDS = 60_000
const END_MILLISECONDS = 90_000
/** The numbers of tasks of jobs: most are small, few are large, as on the users' sites. */
const WIDTHS = [4, 6, 8, 10, 14, 18, 24, 36, 60, 120]
/** Three times the objective of a job of one step: 2 * 3.2 s + 1 s. Later completions are of no use. */
const USEFUL_MILLISECONDS = 22_200

interface PlayedJob {
  width: number
  submittedAt: number
  completedAt: number | null
}

/**
 * Plays jobs of all sizes on a site that is limited by its workers or by the number of starts.
 * @param load The arriving work relative to the capacity of the workers.
 * @param startsPerSecond The number of starts that the owner can send.
 * @returns The jobs.
 */
function playJobs (load: number, startsPerSecond: number): PlayedJob[] {
  const random = createRandom(getTestSeed())
  const engine = DispatchEngine.create({ epoch: 1 })
  const played = new Map<string, PlayedJob>()
  const meanWidth = WIDTHS.reduce((sum, width) => sum + width, 0) / WIDTHS.length
  const jobsPerSecond = load * WORKER_COUNT * WORKER_PROCESSORS * 1000 / TASK_MILLISECONDS / meanWidth
  const workers = Array.from({ length: WORKER_COUNT }, (_, index) => {
    const worker = engine.setWorker(createWorkerEntry({
      workerId: `worker-${index}`,
      serviceName: 'desk',
      capacity: { processorsMilli: WORKER_PROCESSORS * 1000, memoryMegabytes: 64_000, accelerators: 0 }
    }))
    worker.registered = true
    return { worker, endedCount: 0 }
  })
  let unsentStarts = 0
  for (let now = 0; now < END_MILLISECONDS; now += STEP_MILLISECONDS) {
    if (now < ARRIVAL_MILLISECONDS && random() < jobsPerSecond * STEP_MILLISECONDS / 1000) {
      const jobId = `job-${played.size}`
      const width = WIDTHS[Math.floor(random() * WIDTHS.length)]
      played.set(jobId, { width, submittedAt: now, completedAt: null })
      engine.jobs.add({
        submission: createSubmission(
          [{ taskCount: width, memoryMegabytes: 100, estimateMilliseconds: TASK_MILLISECONDS }],
          { jobId, acceptedAtMilliseconds: now, targetLatencyMilliseconds: 1000 }
        ),
        progress: [],
        recovered: false
      }, now)
    }
    for (const row of workers) {
      const runs = [...row.worker.runs.values()]
      const ended = runs.filter(run => now - run.startedAt >= TASK_MILLISECONDS).map((run): ListedCompletion => ({
        number: ++row.endedCount, taskName: run.task.name, attempt: run.attempt, end: 'done', checkpoint: ''
      }))
      const running = runs.filter(run => now - run.startedAt < TASK_MILLISECONDS).map(run => ({
        taskName: run.task.name,
        attempt: run.attempt,
        checkpoint: '',
        percent: Math.floor((now - run.startedAt) * 100 / TASK_MILLISECONDS),
        usageFigure: 1000
      }))
      const report = { workerMilliseconds: now, bornAtMilliseconds: 1, running, ended }
      engine.applyReport(row.worker, report, now, now)
    }
    engine.markDirty()
    unsentStarts = Math.min(64, unsentStarts + startsPerSecond * STEP_MILLISECONDS / 1000)
    engine.plan(now, now, true, Math.floor(unsentStarts))
    for (const order of engine.takeOrders()) {
      if (order.kind !== 'start') continue
      unsentStarts--
      engine.applyStartOutcome(order.worker, order.run, { kind: 'accepted', workerMilliseconds: now }, now)
    }
    for (const segment of engine.jobs.takeChanged(1000)) {
      const { job } = segment
      if (job.finalState !== 'completed') continue
      played.get(job.submission.jobId)!.completedAt = now
      engine.jobs.confirmDurable([{ segment, state: job.finalState }], now)
    }
  }
  return [...played.values()]
}

function getServedShare (jobs: readonly PlayedJob[]): number {
  const served = jobs.filter(({ submittedAt, completedAt }) =>
    completedAt !== null && completedAt - submittedAt <= USEFUL_MILLISECONDS)
  return served.length / jobs.length
}

/** The largest tenth of the jobs, and the fifth below it. */
const SIZE_CLASSES: Array<[name: string, widths: number[]]> = [
  ['largest tenth', WIDTHS.slice(-1)], ['fifth below', WIDTHS.slice(-3, -1)]
]

for (const [name, load, startsPerSecond] of [['workers', 1.4, 1000], ['owner', 0.9, 55]] as const) {
  test(`large jobs are served at least half as often as all jobs when the ${name} cannot carry the load`, () => {
    const jobs = playJobs(load, startsPerSecond)
    const all = getServedShare(jobs)
    assert.ok(all > 0.5, `${all} of all jobs are served`)
    for (const [className, widths] of SIZE_CLASSES) {
      const served = getServedShare(jobs.filter(({ width }) => widths.includes(width)))
      assert.ok(served >= all / 2, `${served} of the ${className} are served, ${all} of all jobs`)
    }
  })
}
