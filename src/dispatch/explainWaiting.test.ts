import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { PlannedSite } from '../../stand-ins/platform/PlannedSite.js'

const CAPACITY = { processorsMilli: 4000, memoryMegabytes: 16_000, accelerators: 0 }
const WATCH = { processorsMilli: 3000, memoryMegabytes: 1000, longRunning: true, requiredLabel: 'a' }
const SHORT = { processorsMilli: 1000, memoryMegabytes: 500, estimateMilliseconds: 10_000, requiredLabel: 'a' }

/** Creates a site on which a restart waits while all workers that may get new work are full. */
function createFullSite (): PlannedSite {
  const site = PlannedSite.create({ seed: 1, workerCount: 4, capacity: CAPACITY })
  site.submit('watch', [WATCH])
  site.advance(100)
  const watching = site.workers.find(({ runs }) => runs.size === 1)!
  site.submit('short', [{ ...SHORT, taskCount: 1000 }])
  site.advance(100)
  for (const [workerId, labels] of [['paused', ['a']], ['other', ['b']]] as const) {
    const entry = createWorkerEntry({ workerId, labels: [...labels], capacity: { ...CAPACITY } })
    const worker = site.engine.setWorker(entry)
    worker.registered = true
    worker.quarantinedUntil = workerId === 'paused' ? Infinity : 0
  }
  site.workers.find(worker => worker !== watching)!.failureTimes = [site.now, site.now]
  site.removeWorker(watching)
  site.advance(20)
  return site
}

test('an explanation counts the workers with the label of the task by what keeps them from running it', () => {
  const site = createFullSite()
  const { workerId } = site.workers.find(({ reservingTask }) => reservingTask !== null)!.entry
  const [{ name }] = site.getTasksAway('watch')
  const task = site.engine.jobs.findTask(name, site.now)!
  assert.deepEqual(site.engine.explainWaiting(task, site.now), {
    reason: 'no-free-capacity',
    workersInService: 4,
    workersWithRoom: 1,
    workersPaused: 1,
    workersUnsteady: 1,
    reservedWorker: workerId
  })
})
