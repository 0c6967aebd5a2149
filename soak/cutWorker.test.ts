import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SoakRun } from './SoakRun.js'

test('a worker that is cut off while all processes are killed three times loses no job', { timeout: 90_000 }, async () => {
  const result = await SoakRun.execute({
    seed: 9, cutsWorkerOff: true, processCount: 3, workerCount: 4, durationMilliseconds: 12_000
  })
  assert.deepEqual(result.violations, [])
  assert.ok(result.acceptedCount > 0)
})
