import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { VirtualClock } from '../shared/VirtualClock.js'

const WORKER_TABLE = 'listed-workers'
const TASK_COUNT = 40

test('a worker that has left the list gets no work from processes that start later, although it still responds', async () => {
  const clock = VirtualClock.create()
  const site = EmulatedSite.create({ clock, random: createRandom(11), instanceCount: 2, workerCount: 3 })
  await clock.advance(3000)
  site.submit('before', [{ taskCount: TASK_COUNT }])
  await clock.advance(4000)
  assert.ok(site.judge.startWorkerIds.includes('worker-1'))
  site.tables.apply({
    operations: [{ kind: 'delete', table: WORKER_TABLE, key: 'worker-1', condition: { kind: 'any' } }]
  })
  // All processes restart at once, so the new owner knows the worker only from what earlier ones have stored.
  for (const instance of [...site.instances]) site.replaceInstance(instance, 300)
  await clock.advance(6000)
  const startCount = site.judge.startWorkerIds.length
  site.submit('after', [{ taskCount: TASK_COUNT }])
  await clock.advance(10_000)
  const startedOn = new Set(site.judge.startWorkerIds.slice(startCount))
  const state = site.getOwner()!.instance.ownerApi.getJobState('after')
  for (const worker of site.workers.values()) worker.shutDown()
  assert.equal(state, 'completed')
  assert.deepEqual([...startedOn].sort(), ['worker-0', 'worker-2'])
})
