import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { EPOCH_STEP } from '../dispatch/index.js'
import { VirtualClock } from '../shared/VirtualClock.js'

/** Longer than an owner that could not renew its ownership starts tasks and renews leases. */
const SUSPENDED_MILLISECONDS = 8000
const BACKLOG_TASKS = 400

/** Records what workers are asked for with an epoch, apart from questions that renew no lease. */
function recordOrders (site: EmulatedSite, clock: VirtualClock): Array<{ epoch: number, at: number, order: string }> {
  const orders: Array<{ epoch: number, at: number, order: string }> = []
  for (const worker of site.workers.values()) {
    const { start, hold } = worker
    worker.start = async order => {
      orders.push({ epoch: order.epoch, at: clock.monotonicMilliseconds(), order: 'start' })
      return await start.call(worker, order)
    }
    worker.hold = async request => {
      const { epoch, leaseDeadline } = request
      if (leaseDeadline !== null) orders.push({ epoch, at: clock.monotonicMilliseconds(), order: 'renewal' })
      return await hold.call(worker, request)
    }
  }
  return orders
}

test('an owner whose machine was suspended gives no order before it has renewed its ownership', async () => {
  const clock = VirtualClock.create()
  const site = EmulatedSite.create({ clock, random: createRandom(3), instanceCount: 3, workerCount: 4 })
  await clock.advance(3000)
  const orders = recordOrders(site, clock)
  site.submit('backlog', [{ taskCount: BACKLOG_TASKS }])
  await clock.advance(1500)
  const owner = site.getOwner()!
  const suspendedAt = clock.monotonicMilliseconds()
  owner.process.suspend(SUSPENDED_MILLISECONDS)
  // The owner cannot learn from the store that it has been replaced.
  owner.tables.faults.cutOff = true
  await clock.advance(SUSPENDED_MILLISECONDS + 6000)
  const epochs = new Set(orders.map(({ epoch }) => epoch))
  const late = orders.filter(({ epoch, at }) => epoch === 1 && at >= suspendedAt + SUSPENDED_MILLISECONDS)
  for (const worker of site.workers.values()) worker.shutDown()
  assert.ok(epochs.has(1 + EPOCH_STEP), 'another process has taken over')
  assert.deepEqual(late, [])
  assert.deepEqual(site.judge.violations, [])
})
