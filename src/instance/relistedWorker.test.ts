import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { createTestMetrics } from '../../stand-ins/platform/createTestMetrics.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { EmulatedTables } from '../../stand-ins/platform/EmulatedTables.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import type { HoldOutcome, WorkerClient, WorkerEntry } from '../dispatch/index.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { DEFAULT_TABLE_LIMITS } from '../table/TableLimits.js'
import { ShardDispatcher } from './ShardDispatcher.js'

/** Times after the start, between two ticks of the owner and at them. */
const REMOVAL_TIMES = [2000, 2040, 2080, 2120, 2160]
/** Shorter than the interval at which the owner stops the loops of removed workers. */
const ABSENCE_MILLISECONDS = 30

for (const removedAt of REMOVAL_TIMES) {
  test(`a worker that is listed again soon after its removal is followed (removed at ${removedAt} ms)`, async () => {
    const clock = VirtualClock.create(1000)
    const tables = EmulatedTables.create({ clock }).createClient(createRandom(1))
    const entry = createWorkerEntry()
    const workers = new Map<string, WorkerEntry>([['worker-0', entry]])
    let isReachable = false
    const dispatcher = ShardDispatcher.create({
      shardId: 'site',
      fence: { epoch: 1, rowVersion: 1 },
      tableLimits: DEFAULT_TABLE_LIMITS,
      tableService: tables,
      feed: tables,
      site: { getConfiguration: () => null, getDataCentresOut: () => new Set(), getWorkers: () => workers },
      clock,
      logger: silentLogger,
      errors: createTestErrors(clock),
      livenessSource: { listLiveWorkers: async () => ({ kind: 'ok', value: new Set() }) },
      metrics: createTestMetrics(true),
      leaseMilliseconds: 6000,
      processors: 1,
      random: createRandom(1),
      earlierLeasesEndAt: 0,
      earlierStartsEndAt: null,
      assignmentsStoredSince: 0,
      createWorkerClient: () => ({
        hold: async (): Promise<HoldOutcome> => {
          await new Promise<void>(resolve => { clock.setTimer(100, resolve) })
          const report = {
            workerMilliseconds: clock.monotonicMilliseconds(), bornAtMilliseconds: 1, running: [], ended: []
          }
          return isReachable ? { kind: 'reported', report } : { kind: 'unknown', reason: 'timeout' }
        },
        close: () => {}
      }) as unknown as WorkerClient,
      getRenewalAge: () => 0,
      onDeposed: () => {}
    })
    dispatcher.run()
    await clock.advance(removedAt)
    workers.delete('worker-0')
    dispatcher.updateSite()
    await clock.advance(ABSENCE_MILLISECONDS)
    workers.set('worker-0', entry)
    dispatcher.updateSite()
    isReachable = true
    await clock.advance(3000)
    assert.equal(dispatcher.engine.workers.get('worker-0')?.syncState, 'synchronized')
    dispatcher.stop()
  })
}
