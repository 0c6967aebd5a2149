import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { TASK_START_LIMIT_MILLISECONDS } from './ownerTimeLimits.js'

const SAMPLE_MILLISECONDS = 100
const FAULT_MILLISECONDS = 30_000
/** A long-running task that does not run must run again within this time when there is free capacity. */
const TASK_RESTART_MILLISECONDS = 6000
/** The owner may repeat this many writes per second, and has saved those of one second. */
const REPEATS_PER_SECOND = 40
const WATCH_TASK_COUNT = 6

type WriteFault = 'applied-late' | 'applied-at-once'

/** Plays a site on which a share of all writes to the store gets no response, and on which long-running tasks fail. */
async function play (seed: number, { share, fault }: { share: number, fault: WriteFault }) {
  const clock = VirtualClock.create()
  const random = createRandom(seed)
  const site = EmulatedSite.create({ clock, random, instanceCount: 4, workerCount: 6 })
  await clock.advance(4000)
  site.submit('watch', [{ taskCount: WATCH_TASK_COUNT, longRunning: true }], {
    durationMilliseconds: 3000, failureCount: Infinity
  })
  await clock.advance(1500)
  const owner = site.getOwner()
  const getWriteCount = () => site.instances.reduce((sum, { tables }) => sum + tables.writeCount, 0)
  const writeCountBefore = getWriteCount()
  const names = Array.from({ length: WATCH_TASK_COUNT }, (_, index) => `watch.0.0.${index}`)
  const lastRunAt = new Map(names.map(name => [name, clock.monotonicMilliseconds()]))
  let oldestRenewal = 0
  let longestDowntime = 0
  for (let elapsed = 0; elapsed < FAULT_MILLISECONDS; elapsed += SAMPLE_MILLISECONDS) {
    for (const { tables: { faults } } of site.instances) {
      if (fault === 'applied-late') faults.lateShare = share
      else faults.lostAnswerShare = share
      faults.lateMilliseconds = 1000 + random() * 5000
    }
    await clock.advance(SAMPLE_MILLISECONDS)
    oldestRenewal = Math.max(oldestRenewal, owner?.instance.ownerApi.probe().renewalAge ?? Infinity)
    const running = new Set(site.judge.getRunningTasks())
    const now = clock.monotonicMilliseconds()
    for (const [name, at] of lastRunAt) {
      if (running.has(name)) lastRunAt.set(name, now)
      longestDowntime = Math.max(longestDowntime, now - at)
    }
  }
  const writesPerSecond = (getWriteCount() - writeCountBefore) / (FAULT_MILLISECONDS / 1000)
  const isSameOwner = site.getOwner() === owner
  for (const worker of site.workers.values()) worker.shutDown()
  return { oldestRenewal, longestDowntime, writesPerSecond, isSameOwner, violations: site.judge.violations }
}

for (const fault of ['applied-late', 'applied-at-once'] as const) {
  for (const seed of [1, 2, 3]) {
    test(`the owner confirms its renewals and restarts tasks while 80% of writes are ${fault}, seed ${seed}`, async () => {
      const { oldestRenewal, longestDowntime, writesPerSecond, isSameOwner, violations } =
        await play(seed, { share: 0.8, fault })
      assert.deepEqual(violations, [])
      assert.ok(isSameOwner, 'another instance has taken over')
      assert.ok(oldestRenewal < TASK_START_LIMIT_MILLISECONDS, `a renewal was ${oldestRenewal} ms old`)
      assert.ok(longestDowntime <= TASK_RESTART_MILLISECONDS, `a task did not run for ${longestDowntime} ms`)
      assert.ok(writesPerSecond < 2 * REPEATS_PER_SECOND, `${writesPerSecond} writes per second`)
    })
  }
}
