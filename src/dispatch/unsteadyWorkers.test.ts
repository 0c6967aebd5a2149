import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine } from './index.js'

const REPORT = { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }

/** Creates an owner of a worker with the given failures and of one without any. */
function createOwner (failureTimes: readonly number[]) {
  const engine = DispatchEngine.create({ epoch: 1 })
  const [failing, steady] = ['worker-0', 'worker-1'].map(workerId => {
    const worker = engine.setWorker(createWorkerEntry({ workerId }))
    worker.registered = true
    engine.applyReport(worker, REPORT, 0, 1)
    return worker
  })
  for (const time of failureTimes) {
    engine.markUnreachable(failing, time)
    engine.applyReport(failing, REPORT, time + 10, time + 20)
  }
  return { engine, failing, steady }
}

function placeTasks (engine: DispatchEngine, taskCount: number, now: number): string[] {
  engine.jobs.add({ submission: createSubmission([{ taskCount }]), progress: [], recovered: false }, now)
  engine.markDirty()
  engine.plan(now, now, true)
  return engine.takeOrders().flatMap(order => order.kind === 'start' ? [order.worker.entry.workerId] : [])
}

test('a worker that has stopped responding twice gets work only when the other one is full', () => {
  const { engine, steady } = createOwner([1000, 3000])
  const { capacity } = steady.entry
  const taskCount = 2 * capacity.processorsMilli / 1000
  const placed = placeTasks(engine, taskCount, 4000)
  assert.deepEqual([...new Set(placed)], ['worker-1', 'worker-0'])
  assert.equal(placed.lastIndexOf('worker-1') < placed.indexOf('worker-0'), true)
})

test('a single failure, or earlier ones, do not affect the choice of a worker', () => {
  for (const failureTimes of [[3000], [1000, 3000]]) {
    const { engine } = createOwner(failureTimes)
    const now = failureTimes.length === 1 ? 4000 : 15_000
    assert.deepEqual(new Set(placeTasks(engine, 2, now)), new Set(['worker-0', 'worker-1']))
  }
})

test('workers of a data centre in which several others have failed get work only when those elsewhere are full', () => {
  const engine = DispatchEngine.create({ epoch: 1 })
  const workers = Array.from({ length: 20 }, (_, index) => {
    const dataCentre = index < 10 ? 'north-a' : 'south-a'
    const worker = engine.setWorker({ ...createWorkerEntry({ workerId: `worker-${index}` }), dataCentre })
    worker.registered = true
    engine.applyReport(worker, REPORT, 0, 1)
    return worker
  })
  for (const failing of workers.slice(0, 2)) {
    engine.markUnreachable(failing, 1000)
    engine.applyReport(failing, REPORT, 1010, 1020)
  }
  const placed = new Set(placeTasks(engine, 40, 2000))
  assert.deepEqual(workers.slice(0, 10).filter(({ entry }) => placed.has(entry.workerId)), [])
})
