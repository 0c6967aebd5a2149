import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import type { JobSubmission, RunRecord, StepSpecification, StoredProgressRow } from '../jobs/index.js'
import { DispatchEngine } from './DispatchEngine.js'
import type { ListedCompletion } from './WorkerProtocol.js'

const RUN_MILLISECONDS = 300
const STEP_MILLISECONDS = 100
/** A task should not wait for longer beside free room. */
const LONGEST_WAIT_MILLISECONDS = 3000

/** Creates a site on which each run ends soon, failed if `hasFailed` says so. */
function createSite (
  workerCount: number, hasFailed: (run: RunRecord) => boolean,
  getRunMilliseconds: (run: RunRecord) => number = () => RUN_MILLISECONDS
) {
  const engine = DispatchEngine.create({ epoch: 1 })
  let now = 1000
  const starts: Array<{ task: string, worker: string, at: number }> = []
  const endCounts = new Map<string, number>()
  for (let index = 0; index < workerCount; index++) {
    engine.setWorker(createWorkerEntry({ workerId: `worker-${index}` })).registered = true
  }
  const report = (): void => {
    for (const worker of engine.workers.values()) {
      const { workerId } = worker.entry
      const runs = [...worker.runs.values()]
      const isOver = (run: RunRecord): boolean => now - run.startedAt >= getRunMilliseconds(run)
      let number = endCounts.get(workerId) ?? 0
      const ended = runs.filter(isOver).map((run): ListedCompletion => ({
        number: ++number, taskName: run.task.name, attempt: run.attempt, end: hasFailed(run) ? 'failed' : 'done', checkpoint: ''
      }))
      endCounts.set(workerId, number)
      const running = runs.filter(run => !isOver(run)).map(({ task, attempt }) =>
        ({ taskName: task.name, attempt, checkpoint: '', percent: 5, usageFigure: 10 }))
      engine.applyReport(worker, { workerMilliseconds: now, bornAtMilliseconds: 1, running, ended }, now - 1, now)
    }
  }
  const advance = (milliseconds: number): void => {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
      now += STEP_MILLISECONDS
      report()
      engine.markDirty()
      engine.plan(now, now, true)
      for (const order of engine.takeOrders()) {
        if (order.kind !== 'start') continue
        starts.push({ task: order.run.task.name, worker: order.worker.entry.workerId, at: now })
        engine.applyStartOutcome(order.worker, order.run, { kind: 'accepted', workerMilliseconds: now }, now)
      }
    }
  }
  const submit = (
    jobId: string, step: Partial<StepSpecification>, submission: Partial<JobSubmission> = {},
    progress: StoredProgressRow[] = []
  ): number => {
    const job = createSubmission([step], { jobId, acceptedAtMilliseconds: now, ...submission })
    engine.jobs.add({ submission: job, progress, recovered: progress.length > 0 }, now)
    return now
  }
  const pause = (count: number, milliseconds: number): void => {
    for (const worker of [...engine.workers.values()].slice(0, count)) {
      worker.quarantinedUntil = now + milliseconds
      worker.quarantineMilliseconds = milliseconds
    }
  }
  const countPaused = (): number =>
    [...engine.workers.values()].filter(({ quarantinedUntil }) => quarantinedUntil > now).length
  return { engine, starts, advance, submit, pause, countPaused }
}

test('a job that fails wherever it runs pauses no worker', () => {
  const site = createSite(4, run => run.task.name.startsWith('failing'))
  site.submit('failing', { taskCount: 8 }, { attemptLimit: 20 })
  let mostPaused = 0
  for (let step = 0; step < 50; step++) {
    site.advance(STEP_MILLISECONDS)
    mostPaused = Math.max(mostPaused, site.countPaused())
  }
  assert.ok(site.starts.length > 40, `${site.starts.length} starts`)
  assert.equal(mostPaused, 0)
})

test('a worker on which each job fails is paused, and a wide job does not hide its fault', () => {
  const site = createSite(4, run => run.workerId === 'worker-0')
  site.submit('wide', { taskCount: 200, estimateMilliseconds: RUN_MILLISECONDS }, { attemptLimit: 20 })
  site.advance(1500)
  assert.equal(site.countPaused(), 1)
  const before = site.starts.length
  site.advance(1000)
  assert.ok(site.starts.slice(before).every(({ worker }) => worker !== 'worker-0'))
})

test('a task that finds only paused workers starts in time, and its success ends the pause', () => {
  const site = createSite(4, () => false)
  site.pause(4, 12_000)
  const submittedAt = site.submit('short', { taskCount: 12 })
  site.advance(LONGEST_WAIT_MILLISECONDS)
  assert.ok(site.starts.length > 0)
  assert.ok(site.starts[0].at - submittedAt < LONGEST_WAIT_MILLISECONDS)
  assert.ok(site.countPaused() < 4)
})

test('a gang that finds only paused workers starts in time', () => {
  const site = createSite(4, () => false)
  site.pause(4, 12_000)
  const submittedAt = site.submit('gang', { taskCount: 4, gang: true, processorsMilli: 3000 })
  site.advance(LONGEST_WAIT_MILLISECONDS)
  assert.equal(site.starts.length, 4)
  assert.ok(site.starts[0].at - submittedAt < LONGEST_WAIT_MILLISECONDS)
})

test('one task of a step at a time tries paused workers on which all fail, so that its job keeps most attempts', () => {
  const site = createSite(4, () => true)
  site.pause(4, 60_000)
  site.submit('short', { taskCount: 12 }, { attemptLimit: 20 })
  site.advance(10_000)
  assert.ok(site.starts.length >= 2 && site.starts.length <= 10, `${site.starts.length} starts`)
})

test('a task waits for the workers that are not paused when these are most of those that can run it', () => {
  const site = createSite(4, () => false)
  site.pause(1, 60_000)
  site.submit('short', { taskCount: 40 })
  site.advance(LONGEST_WAIT_MILLISECONDS * 2)
  assert.ok(site.starts.length >= 40)
  assert.ok(site.starts.every(({ worker }) => worker !== 'worker-0'))
})

test('a wide job of long tasks keeps its attempts although all runs fail at once on three of eight workers', () => {
  const failingWorkers = ['worker-0', 'worker-1', 'worker-2']
  const isFailing = ({ workerId }: RunRecord): boolean => failingWorkers.includes(workerId)
  const site = createSite(8, isFailing, run => isFailing(run) ? STEP_MILLISECONDS : 6000)
  site.submit('wide', { taskCount: 60, estimateMilliseconds: 6000 }, { attemptLimit: 3 })
  site.advance(5000)
  assert.equal(site.engine.jobs.getJob('wide')!.finalState, null)
  // Each of them is filled with four tasks, is paused for 3 s after their failures, and is filled once more.
  const failedCount = site.starts.filter(({ worker }) => failingWorkers.includes(worker)).length
  assert.ok(failedCount <= 24, `${failedCount} of ${site.starts.length} starts failed`)
})

test('the last task of a long-running step starts in time while the restarts of the others wait for paused workers', () => {
  const site = createSite(2, () => true)
  site.pause(2, 60_000)
  const assigned = Object.fromEntries(Array.from({ length: 8 }, (_, index) => [`0.0.${index}`, 'worker-0']))
  const step = { taskCount: 9, longRunning: true, processorsMilli: 400 }
  const submittedAt = site.submit('serving', step, {}, [{ key: 'serving', version: 1, value: { assigned } }])
  site.advance(LONGEST_WAIT_MILLISECONDS * 4)
  assert.ok(site.starts.length > 9, `${site.starts.length} starts`)
  const lastStart = site.starts.find(({ task }) => task === 'serving.0.0.8')
  assert.ok(lastStart !== undefined && lastStart.at - submittedAt < LONGEST_WAIT_MILLISECONDS)
})
