import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LossPlay } from './LossPlay.js'

test('without faults, all jobs are done, all long-running tasks are at work, and no call is sent twice', async () => {
  const figures = await LossPlay.run({ seed: 1, kind: 'both-lost', share: 0 })
  assert.deepEqual([figures.lostJobs, figures.lostTasks, figures.atWorkShare], [0, 0, 1])
  assert.equal(figures.doneJobs, figures.sentJobs)
  assert.equal(figures.startCalls, figures.executedStarts)
  assert.deepEqual([figures.stopCalls, figures.lapsedRuns, figures.lapsedLeases, figures.violations], [0, 0, 0, 0])
})

test('a play with the same seed and fault gives the same figures', async () => {
  const options = { seed: 2, kind: 'orders-late', share: 0.5 } as const
  assert.deepEqual(await LossPlay.run(options), await LossPlay.run(options))
})
