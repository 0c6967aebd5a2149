import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { createTestMetrics } from '../../stand-ins/platform/createTestMetrics.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine, type HoldRequest, type WorkerClient } from '../dispatch/index.js'
import { BatchedLog } from '../shared/BatchedLog.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { WorkerLeaseLoop } from './WorkerLeaseLoop.js'

test('does not renew the lease of a worker that a stored record names as unreached', async () => {
  const clock = VirtualClock.create(1000)
  const engine = DispatchEngine.create({ epoch: 2 })
  engine.unreached.restore({ 'worker-0': 0 })
  const worker = engine.setWorker(createWorkerEntry())
  const requests: HoldRequest[] = []
  const client = {
    hold: async (request: HoldRequest) => {
      requests.push(request)
      return {
        kind: 'reported', report: { workerMilliseconds: 5000, bornAtMilliseconds: 1, running: [], ended: [] }
      }
    }
  } as unknown as WorkerClient
  const loop = WorkerLeaseLoop.create({
    worker,
    engine,
    client,
    clock,
    leaseMilliseconds: 6000,
    logger: silentLogger,
    endedRuns: BatchedLog.create({ clock, logger: silentLogger, message: 'ended runs applied' }),
    errors: createTestErrors(clock),
    metrics: createTestMetrics(true),
    mayRenewLeases: () => true,
    onReport: () => {},
    onFenced: () => {},
    waitForDurability: async () => {}
  })
  loop.run()
  await clock.advance(1000)
  assert.ok(requests.length > 2 && requests.length < 8 && requests.every(({ leaseDeadline }) => leaseDeadline === null))
  engine.unreached.confirmDurable({})
  await clock.advance(300)
  assert.notEqual(requests.at(-1)?.leaseDeadline, null)
  loop.stop()
})
