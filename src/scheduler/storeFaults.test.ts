import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { createSchedules, runSchedule } from '../../tools/simulation/faultSchedules.js'
import { getTestSeed } from '../shared/testSeed.js'

/** The four files with random fault schedules run 1,040 schedules in total, and run concurrently. */
const SCHEDULES = 260
/** Fewer than the 16 processors of the workers, so that some tasks wait for the quota. */
const QUOTA_PROCESSORS = 10

/** Guards against lost and repeated work when the store is down or slow, or loses requests or responses. */
const schedules = createSchedules({
  submit: 4,
  'store-down': 2,
  'store-slow': 2,
  'store-lossy': 3,
  'cut-store': 1,
  'cut-reads': 1,
  restart: 1,
  freeze: 1,
  evict: 1,
  cancel: 1
})

test('a store that is down, slow or loses messages violates no invariant', async () => {
  await fastCheck.assert(fastCheck.asyncProperty(schedules, async schedule => {
    const violations = await runSchedule(schedule, {}, QUOTA_PROCESSORS)
    assert.equal(violations.map(({ kind, detail }) => `${kind}: ${detail}`).join('; '), '')
  }), { seed: getTestSeed(), numRuns: SCHEDULES })
})
