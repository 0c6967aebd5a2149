import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { OrderOutcome } from './index.js'
import { PlannedSite } from '../../stand-ins/platform/PlannedSite.js'

const CAPACITY = { processorsMilli: 4000, memoryMegabytes: 16_000, accelerators: 0 }
const GANG = { taskCount: 2, gang: true, processorsMilli: 3000, estimateMilliseconds: 60_000 }

/** Plays a gang on four workers, one of which gives the outcome to each start; returns the workers of its runs. */
function placeGang (outcome: OrderOutcome, workerCount: number): string[] {
  const site = PlannedSite.create({
    seed: 1,
    workerCount,
    capacity: CAPACITY,
    getStartOutcome: ({ workerId }) => workerId === 'worker-0' ? outcome : { kind: 'accepted', workerMilliseconds: 0 }
  })
  site.submit('gang', [GANG])
  for (let round = 0; round < 3; round++) {
    site.advance(200)
    // Members that wait for the others end by themselves.
    for (const worker of site.workers) {
      const runs = [...worker.runs.values()]
      if (runs.length > 0 && site.workers.flatMap(({ runs }) => [...runs.values()]).length < GANG.taskCount) {
        site.removeWorker(worker)
      }
    }
  }
  return site.workers.flatMap(({ runs }) => [...runs.values()]).map(({ workerId }) => workerId)
}

test('a gang starts without the worker that rejects its starts, when it fits elsewhere', () => {
  const workers = placeGang({ kind: 'rejected', reason: 'room' }, 4)
  assert.equal(workers.length, 2)
  assert.ok(!workers.includes('worker-0'), workers.join())
})

// GANG: the other members waited for the missing one until they ended alone.
test('members that have started are stopped at once when a worker rejects the start of another one', () => {
  const site = PlannedSite.create({
    seed: 1,
    workerCount: 2,
    capacity: CAPACITY,
    getStartOutcome: ({ workerId }) =>
      workerId === 'worker-1' ? { kind: 'rejected', reason: 'room' } : { kind: 'accepted', workerMilliseconds: 0 }
  })
  site.submit('gang', [GANG])
  site.advance(40)
  assert.deepEqual(site.stoppedNames, ['gang-0.0.0.0'])
})
