import assert from 'node:assert/strict'
import { test } from 'node:test'
import { PlannedSite } from '../../stand-ins/platform/PlannedSite.js'

const CAPACITY = { processorsMilli: 4000, memoryMegabytes: 16_000, accelerators: 0 }
const TASK_COUNT = 6

test('tasks start on other workers when one rejects each start for lack of room that the owner does not know of', () => {
  const site = PlannedSite.create({
    seed: 1,
    workerCount: 3,
    capacity: CAPACITY,
    getStartOutcome: ({ workerId }) => workerId === 'worker-0'
      ? { kind: 'rejected', reason: 'room' }
      : { kind: 'accepted', workerMilliseconds: 0 }
  })
  site.submit('short', [{ taskCount: TASK_COUNT, estimateMilliseconds: 60_000 }])
  site.advance(1000)
  const runs = site.workers.flatMap(({ runs }) => [...runs.values()])
  assert.equal(runs.filter(({ state }) => state === 'running').length, TASK_COUNT)
  // Each task may try the worker once.
  assert.ok(site.startCounts.get('short')! <= TASK_COUNT * 2, `${site.startCounts.get('short')} starts`)
})

test('a task whose starts are refused counts as waiting from its first one on', () => {
  const site = PlannedSite.create({
    seed: 1, workerCount: 1, capacity: CAPACITY, getStartOutcome: () => ({ kind: 'rejected', reason: 'room' })
  })
  site.submit('short', [{}])
  site.advance(20)
  const { waitingSince } = site.engine.jobs.findTask('short-0.0.0.0', 0)!
  site.advance(1000)
  assert.ok(site.startCounts.get('short')! > 1)
  assert.equal(site.engine.jobs.findTask('short-0.0.0.0', 0)!.waitingSince, waitingSince)
})

test('a long-running task tries paused workers that refuse all of its starts once a second at most', () => {
  const seconds = 20
  const site = PlannedSite.create({
    seed: 1, workerCount: 4, capacity: CAPACITY, getStartOutcome: () => ({ kind: 'unhealthy' })
  })
  site.submit('serving', [{ longRunning: true, taskCount: 2 }])
  site.advance(seconds * 1000)
  // Beside that, each task may try a worker whose pause is over.
  const startCount = site.startCounts.get('serving')!
  assert.ok(startCount >= seconds && startCount <= 2 * 2 * seconds, `${startCount} starts in ${seconds} s`)
})
