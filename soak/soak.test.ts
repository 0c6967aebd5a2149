import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SoakRun } from './SoakRun.js'

test('a short seeded soak of the deployed program, with odd entries of workers, has no violations', { timeout: 90_000 }, async () => {
  const result = await SoakRun.execute({ seed: 7, processCount: 3, workerCount: 4, durationMilliseconds: 6000 })
  assert.deepEqual(result.violations, [])
  assert.ok(result.acceptedCount > 0)
})

test('odd entries among those of the workers end no process of the deployed program and lose no job', { timeout: 90_000 }, async () => {
  const result = await SoakRun.execute({
    seed: 8, processCount: 2, workerCount: 2, durationMilliseconds: 4000, hasOtherFaults: false
  })
  assert.deepEqual(result.violations, [])
  assert.ok(result.acceptedCount > 0)
})
