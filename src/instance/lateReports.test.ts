import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { VirtualClock } from '../shared/VirtualClock.js'

const TASK_MILLISECONDS = 3000
/** The path to the worker becomes slow this long before the run ends, in steps that cover the wait of a call. */
const SLOW_BEFORE_END_MILLISECONDS = [50, 250, 450, 650, 850, 1050, 1250, 1450]
const SLOW_MILLISECONDS = 12_000
const STEP_MILLISECONDS = 10

/** Plays a run that ends on a worker whose path has just become slow, and returns the violations. */
async function play (extraRoundTripMilliseconds: number, slowBeforeEndMilliseconds: number): Promise<string[]> {
  const clock = VirtualClock.create()
  const site = EmulatedSite.create({
    clock,
    random: createRandom(1),
    instanceCount: 3,
    workerCount: 4,
    processorTime: { share: 2, expiredCalls: 'leaves-queue' },
    treatsListedAsAcknowledged: true
  })
  await clock.advance(4000)
  site.submit('draft', [{}], { durationMilliseconds: TASK_MILLISECONDS })
  while (!site.judge.lastRunWorkerIds.has('draft.0.0.0')) await clock.advance(STEP_MILLISECONDS)
  const paths = site.paths.get(site.judge.lastRunWorkerIds.get('draft.0.0.0')!)!
  await clock.advance(TASK_MILLISECONDS - slowBeforeEndMilliseconds)
  paths.setExtraRoundTrip(extraRoundTripMilliseconds)
  await clock.advance(SLOW_MILLISECONDS)
  paths.setExtraRoundTrip(0)
  await clock.advance(10_000)
  for (const worker of site.workers.values()) worker.shutDown()
  return site.judge.violations
}

for (const extraRoundTripMilliseconds of [1500, 2500, 4000, 6000]) {
  test(`no task starts again after an end listed in a report that is ${extraRoundTripMilliseconds / 2} ms late`, async () => {
    const violations: string[] = []
    for (const slowBeforeEndMilliseconds of SLOW_BEFORE_END_MILLISECONDS) {
      violations.push(...await play(extraRoundTripMilliseconds, slowBeforeEndMilliseconds))
    }
    assert.deepEqual(violations, [])
  })
}
