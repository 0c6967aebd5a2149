import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import type { StepSpecification } from '../jobs/index.js'
import type { LearnedEffects } from './ColocationAdvisor.js'
import { DispatchEngine } from './DispatchEngine.js'

const TARGET_MILLISECONDS = 20
/** Tail latencies that leave no headroom for an image that interferes, the second one the least. */
const NO_HEADROOM = [17, 19, 18, 18]
const LEARNED: LearnedEffects = {
  desk: { headroom: [2, 0.01], effects: { heavy: [-9, 0.01], light: [0, 0.01] } }
}
const FILLING = { image: 'heavy', fills: true, estimateMilliseconds: 60_000 }
/** A task should not wait for longer beside free room. */
const LONGEST_WAIT_MILLISECONDS = 3000
const STEP_MILLISECONDS = 100

/** Creates a site with a serving task on each worker, at the given tail latencies; 0 for a worker without one. */
function createSite (tailLatencies: readonly number[]) {
  const engine = DispatchEngine.create({ epoch: 1 })
  engine.advisor.import(LEARNED)
  const latencies = new Map(tailLatencies.map((latency, index) => [`worker-${index}`, latency]))
  let now = 1000
  const starts: Array<{ task: string, worker: string, at: number }> = []
  const report = (prefix: string): void => {
    for (const worker of engine.workers.values()) {
      if (!worker.entry.workerId.startsWith(prefix)) continue
      const running = [...worker.runs.values()].map(({ task, attempt }) => ({
        taskName: task.name,
        attempt,
        checkpoint: '',
        percent: task.step.specification.longRunning ? 100 : 5,
        usageFigure: task.step.specification.longRunning ? latencies.get(worker.entry.workerId)! : 10
      }))
      engine.applyReport(worker, { workerMilliseconds: now, bornAtMilliseconds: 1, running, ended: [] }, now - 1, now)
    }
  }
  /** Advances the clock while the workers report whose names begin with a prefix. */
  const advance = (milliseconds: number, prefix = ''): void => {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
      now += STEP_MILLISECONDS
      report(prefix)
      engine.markDirty()
      engine.plan(now, now, true)
      for (const order of engine.takeOrders()) {
        if (order.kind !== 'start') continue
        starts.push({ task: order.run.task.name, worker: order.worker.entry.workerId, at: now })
        engine.applyStartOutcome(order.worker, order.run, { kind: 'accepted', workerMilliseconds: now }, now)
      }
    }
  }
  const submit = (jobId: string, step: Partial<StepSpecification>): number => {
    const job = createSubmission([step], { jobId, acceptedAtMilliseconds: now })
    engine.jobs.add({ submission: job, progress: [], recovered: false }, now)
    return now
  }
  for (const workerId of latencies.keys()) engine.setWorker(createWorkerEntry({ workerId })).registered = true
  const served = tailLatencies.filter(latency => latency > 0).length
  submit('serving', {
    image: 'desk', longRunning: true, targetMilliseconds: TARGET_MILLISECONDS, taskCount: served, maximumPerWorker: 1
  })
  advance(2000)
  // Serving tasks start on any workers, so the tail latencies are given to those that have one.
  const servingWorkers = [...engine.workers.values()].filter(({ servingReserved }) => servingReserved > 0)
  for (const [index, { entry }] of servingWorkers.entries()) {
    latencies.set(entry.workerId, tailLatencies.filter(latency => latency > 0)[index])
  }
  advance(200)
  starts.length = 0
  return { engine, starts, latencies, advance, submit }
}

test('a best-effort task that interferes on each worker starts in time, where it interferes the least', () => {
  const { engine, starts, advance, submit } = createSite(NO_HEADROOM)
  const submittedAt = submit('filling', FILLING)
  advance(LONGEST_WAIT_MILLISECONDS)
  assert.equal(starts.length, 1)
  assert.ok(starts[0].at - submittedAt < LONGEST_WAIT_MILLISECONDS)
  assert.equal(starts[0].worker, 'worker-0')
  advance(2000)
  const [run] = engine.jobs.findTask('filling.0.0.0', 0)!.runs
  assert.ok(run.pacePercent < 100, `pace ${run.pacePercent}`)
})

test('a best-effort task starts at a pace of 0 while serving tasks are above their targets on all workers', () => {
  const { engine, starts, latencies, advance, submit } = createSite(NO_HEADROOM)
  for (const workerId of latencies.keys()) latencies.set(workerId, TARGET_MILLISECONDS * 2)
  advance(2000)
  submit('light', { ...FILLING, image: 'light' })
  advance(LONGEST_WAIT_MILLISECONDS)
  assert.equal(starts.length, 1)
  const [run] = engine.jobs.findTask('light.0.0.0', 0)!.runs
  assert.equal(run.pacePercent, 0)
})

test('one task of a step runs despite interference, the others wait for workers on which they do not interfere', () => {
  const { starts, latencies, advance, submit } = createSite(NO_HEADROOM)
  submit('filling', { ...FILLING, taskCount: 6 })
  advance(LONGEST_WAIT_MILLISECONDS * 2)
  assert.equal(starts.length, 1)
  for (const workerId of latencies.keys()) latencies.set(workerId, 4)
  advance(1000)
  assert.ok(starts.length > 1, `${starts.length} starts`)
})

test('a best-effort task starts at once on the worker where it interferes with none', () => {
  const { starts, advance, submit } = createSite([...NO_HEADROOM, 0])
  const submittedAt = submit('filling', FILLING)
  advance(LONGEST_WAIT_MILLISECONDS)
  assert.deepEqual(starts.map(({ at }) => at - submittedAt), [STEP_MILLISECONDS])
})

test('best-effort tasks that interfere on each worker wait while most of the room is in use', () => {
  const { starts, advance, submit } = createSite(NO_HEADROOM)
  submit('reserving', { taskCount: 8, estimateMilliseconds: 60_000 })
  advance(200)
  starts.length = 0
  submit('filling', FILLING)
  advance(LONGEST_WAIT_MILLISECONDS * 2)
  assert.deepEqual(starts, [])
})

test('a long-running task that finds only paused workers starts in time although most of the service is in use', () => {
  const { engine, starts, advance, submit } = createSite(NO_HEADROOM)
  submit('reserving', { taskCount: 4, processorsMilli: 2000, estimateMilliseconds: 60_000 })
  advance(200)
  for (const worker of engine.workers.values()) worker.quarantinedUntil = Infinity
  starts.length = 0
  submit('watch', { longRunning: true, taskCount: 2, processorsMilli: 500 })
  advance(LONGEST_WAIT_MILLISECONDS)
  assert.equal(starts.length, 2)
})

test('workers that do not respond count as part of a service that is not in use', () => {
  const { engine, starts, advance, submit } = createSite(NO_HEADROOM)
  for (let index = 0; index < 4; index++) {
    const worker = engine.setWorker(createWorkerEntry({ workerId: `silent-${index}` }))
    worker.registered = true
    worker.syncState = 'unreachable'
  }
  submit('reserving', { taskCount: 4, processorsMilli: 1200, estimateMilliseconds: 60_000 })
  advance(200, 'worker')
  starts.length = 0
  submit('filling', FILLING)
  advance(LONGEST_WAIT_MILLISECONDS, 'worker')
  assert.equal(starts.length, 1)
})

test('a best-effort task waits for no run of its step on a worker that does not respond', () => {
  const { engine, starts, advance, submit } = createSite(NO_HEADROOM)
  submit('filling', { ...FILLING, taskCount: 2 })
  advance(LONGEST_WAIT_MILLISECONDS)
  assert.deepEqual(starts.map(({ worker }) => worker), ['worker-0'])
  engine.workers.get('worker-0')!.syncState = 'unreachable'
  for (let elapsed = 0; elapsed < LONGEST_WAIT_MILLISECONDS; elapsed += STEP_MILLISECONDS) {
    advance(STEP_MILLISECONDS, 'worker-1')
    advance(STEP_MILLISECONDS, 'worker-2')
  }
  assert.equal(starts.length, 2)
})

test('a best-effort task starts in time although best-effort runs of other jobs ask for all processors', () => {
  const { starts, advance, submit } = createSite([4, 4, 4, 4])
  submit('wide', { ...FILLING, image: 'light', taskCount: 100, memoryMegabytes: 100 })
  advance(2000)
  starts.length = 0
  const submittedAt = submit('filling', { ...FILLING, image: 'light', memoryMegabytes: 100 })
  advance(LONGEST_WAIT_MILLISECONDS)
  assert.equal(starts.length, 1)
  assert.ok(starts[0].at - submittedAt < LONGEST_WAIT_MILLISECONDS)
})

test('at most one best-effort run of each worker exceeds the unused processors', () => {
  const { engine, starts, advance, submit } = createSite([4, 4, 4, 4])
  submit('wide', { ...FILLING, image: 'light', taskCount: 100, memoryMegabytes: 100 })
  advance(2000)
  starts.length = 0
  for (let index = 0; index < 10; index++) {
    submit(`filling-${index}`, { ...FILLING, image: 'light', memoryMegabytes: 100 })
  }
  advance(LONGEST_WAIT_MILLISECONDS * 2)
  assert.deepEqual(starts.map(({ worker }) => worker).sort(), [...engine.workers.keys()].sort())
})
