import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { createSchedules, runSchedule } from '../../tools/simulation/faultSchedules.js'
import { getTestSeed } from '../shared/testSeed.js'

/** The four files with random fault schedules run 1,040 schedules in total, and run concurrently. */
const SCHEDULES = 260
/** Fewer than the 16 processors of the workers, so that some tasks wait for the quota. */
const QUOTA_PROCESSORS = 10

/** Guards against task starts after a take-out, and against violations under a combination of all faults. */
const schedules = createSchedules({
  submit: 4,
  'take-out': 3,
  kill: 1,
  restart: 1,
  freeze: 1,
  'freeze-before-start': 1,
  'freeze-before-write': 1,
  'cut-worker': 1,
  'worker-refuses': 1,
  'worker-unreachable': 1,
  'worker-frozen': 1,
  'worker-dead': 1,
  'cut-store': 1,
  'cut-reads': 1,
  'store-down': 1,
  'store-slow': 1,
  'store-lossy': 1,
  'messages-lossy': 1,
  cancel: 1,
  evict: 1
})

test('taking out a data centre during other faults violates no invariant', async () => {
  await fastCheck.assert(fastCheck.asyncProperty(schedules, async schedule => {
    const violations = await runSchedule(schedule, {}, QUOTA_PROCESSORS)
    assert.equal(violations.map(({ kind, detail }) => `${kind}: ${detail}`).join('; '), '')
  }), { seed: getTestSeed(), numRuns: SCHEDULES })
})
