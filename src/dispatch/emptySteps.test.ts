import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { PlannedSite } from '../../stand-ins/platform/PlannedSite.js'

const CAPACITY = { processorsMilli: 4000, memoryMegabytes: 16_000, accelerators: 0 }

function createSite (): PlannedSite {
  return PlannedSite.create({ seed: 1, workerCount: 2, capacity: CAPACITY })
}

test('a job none of whose steps has a task is completed', () => {
  const site = createSite()
  site.submit('empty', [{ taskCount: 0 }, { taskCount: 0, afterSteps: [0] }])
  site.advance(100)
  assert.equal(site.engine.jobs.getState('empty-0'), 'completed')
})

test('steps after steps without tasks start, and a job whose last steps have none is completed', () => {
  const site = createSite()
  site.submit('first', [{ taskCount: 0 }, { taskCount: 3, afterSteps: [0] }, { taskCount: 0, afterSteps: [1] }])
  site.advance(3000)
  assert.equal(site.engine.jobs.getState('first-0'), 'completed')
  assert.equal(site.startCounts.get('first'), 3)
})

test('each due occurrence of a scheduled job without tasks is completed, the job with the last one', () => {
  const site = createSite()
  const { specification } = createSubmission([{ taskCount: 0 }])
  site.submit('hourly', [{}], {
    specification: { ...specification, startAtMilliseconds: 1000, intervalMilliseconds: 1000, repeatCount: 3 }
  })
  site.advance(2500)
  assert.equal(site.engine.jobs.getState('hourly-0'), 'pending')
  site.advance(1000)
  assert.equal(site.engine.jobs.getState('hourly-0'), 'completed')
})
