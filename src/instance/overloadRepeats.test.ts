import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EmulatedLoad } from '../../stand-ins/platform/EmulatedLoad.js'
import { EmulatedSite } from '../../stand-ins/platform/EmulatedSite.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { VirtualClock } from '../shared/VirtualClock.js'

const INSTANCE_COUNT = 8
const WORKER_COUNT = 33
/** A hold and two orders in flight to one worker. */
const CONNECTIONS_PER_WORKER = 3
/** The share of the orders that may be sent again although their responses are only late. */
const LATE_SHARE_LIMIT = 0.005
const SEEDS = [1, 2, 3]

interface Measures {
  /** The orders that were sent at least once. */
  orders: number
  /** Further sends of the same orders. */
  repeats: number
  opened: number
  violations: string[]
}

/** Counts the sends of starts and stops by an owner that is short of processor time, without lost responses. */
async function play (share: number, seed: number): Promise<Measures> {
  const clock = VirtualClock.create()
  const random = createRandom(seed)
  const site = EmulatedSite.create({
    clock,
    random,
    instanceCount: INSTANCE_COUNT,
    workerCount: WORKER_COUNT,
    processorTime: { share, expiredCalls: 'leaves-queue' }
  })
  const sends = new Map<string, number>()
  const count = (key: string): void => { sends.set(key, (sends.get(key) ?? 0) + 1) }
  for (const [workerId, worker] of site.workers) {
    const start = worker.start.bind(worker)
    const stop = worker.stop.bind(worker)
    worker.start = async order => {
      count(`start ${order.taskName}#${order.attempt} ${workerId}`)
      return await start(order)
    }
    worker.stop = async (taskName, attempt, epoch) => {
      count(`stop ${taskName}#${attempt} ${workerId}`)
      return await stop(taskName, attempt, epoch)
    }
  }
  const load = EmulatedLoad.create({ site, clock, random })
  await load.advance(6000, 0)
  await load.advance(10_000, 1.2)
  load.submitWideJob(400)
  await load.advance(10_000, 1.2)
  for (const worker of site.workers.values()) worker.shutDown()
  const total = [...sends.values()].reduce((sum, sendCount) => sum + sendCount, 0)
  const { opened } = site.connectionCounts
  return { orders: sends.size, repeats: total - sends.size, opened, violations: site.judge.violations }
}

for (const share of [0.15, 0.27, 2]) {
  test(`an owner with ${share} of a core hardly repeats orders while no response is lost`, async context => {
    const failures: string[] = []
    for (const seed of SEEDS) {
      const measures = await play(share, seed)
      context.diagnostic(`seed ${seed}: ${JSON.stringify(measures)}`)
      const { orders, repeats, opened, violations } = measures
      failures.push(...violations.map(violation => `${violation} with seed ${seed}`))
      if (repeats > orders * LATE_SHARE_LIMIT) failures.push(`${repeats} of ${orders} orders repeated with seed ${seed}`)
      if (opened > WORKER_COUNT * CONNECTIONS_PER_WORKER + repeats) {
        failures.push(`${opened} connections opened with seed ${seed}`)
      }
    }
    assert.deepEqual(failures, [])
  })
}
