import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SoakRun } from './SoakRun.js'

test('a short seeded soak of the deployed program breaks no promise', { timeout: 90_000 }, async () => {
  const result = await SoakRun.execute({ seed: 7, processCount: 3, workerCount: 4, durationMilliseconds: 6000 })
  assert.deepEqual(result.violations, [])
  assert.ok(result.acceptedCount > 0)
})
