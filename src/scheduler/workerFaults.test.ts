import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { createSchedules, runSchedule } from '../../tools/simulation/faultSchedules.js'
import { getTestSeed } from '../shared/testSeed.js'

/** The four files with random fault schedules run 1,040 schedules in total, and run concurrently. */
const SCHEDULES = 260
/** Fewer than the 16 processors of the workers, so that some tasks wait for the quota. */
const QUOTA_PROCESSORS = 10

/** Guards against double runs and lost work when workers or their network links fail. */
const schedules = createSchedules({
  submit: 4,
  'cut-worker': 2,
  'worker-refuses': 1,
  'worker-unreachable': 2,
  'worker-frozen': 1,
  'worker-dead': 1,
  'messages-lossy': 3,
  kill: 1,
  evict: 2,
  cancel: 2
})

test('workers that are unreachable, frozen or dead violate no invariant', async () => {
  await fastCheck.assert(fastCheck.asyncProperty(schedules, async schedule => {
    const violations = await runSchedule(schedule, {}, QUOTA_PROCESSORS)
    assert.equal(violations.map(({ kind, detail }) => `${kind}: ${detail}`).join('; '), '')
  }), { seed: getTestSeed(), numRuns: SCHEDULES })
})
