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
import type { SiteWatch } from './SiteWatch.js'

const REPORT: HoldOutcome = {
  kind: 'reported', report: { workerMilliseconds: 1, bornAtMilliseconds: 1, running: [], ended: [] }
}

test('a worker whose entry first had a wrong address is called once its entry is right', async () => {
  const clock = VirtualClock.create(1000)
  const tables = EmulatedTables.create({ clock }).createClient(createRandom(1))
  const workers = new Map<string, WorkerEntry>([['worker-0', createWorkerEntry({ address: '10.0.0.1:1' })]])
  const calls: string[] = []
  const closed: string[] = []
  const dispatcher = ShardDispatcher.create({
    shardId: 'site',
    fence: { epoch: 1, rowVersion: 1 },
    tableLimits: DEFAULT_TABLE_LIMITS,
    tableService: tables,
    feed: tables,
    site: {
      getConfiguration: () => null, getDataCentresOut: () => new Set(), getWorkers: () => workers
    } as unknown as SiteWatch,
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    livenessSource: { listLiveWorkers: async () => ({ kind: 'ok', value: new Set() }) },
    metrics: createTestMetrics(true),
    leaseMilliseconds: 6000,
    processors: 1,
    earlierLeasesEndAt: 0,
    earlierStartsEndAt: null,
    assignmentsStoredSince: 0,
    createWorkerClient: ({ address }) => ({
      hold: async (): Promise<HoldOutcome> => {
        calls.push(address)
        await new Promise<void>(resolve => { clock.setTimer(100, resolve) })
        return address === '10.0.0.2:1' ? REPORT : { kind: 'unknown', reason: 'refused' }
      },
      close: () => { closed.push(address) }
    }) as unknown as WorkerClient,
    random: createRandom(1),
    getRenewalAge: () => 0,
    onDeposed: () => {}
  })
  dispatcher.run()
  await clock.advance(2000)
  assert.deepEqual([...new Set(calls)], ['10.0.0.1:1'])
  workers.set('worker-0', createWorkerEntry({ address: '10.0.0.2:1' }))
  dispatcher.updateSite()
  await clock.advance(2000)
  assert.deepEqual(closed, ['10.0.0.1:1'])
  assert.equal(calls.at(-1), '10.0.0.2:1')
  assert.equal(dispatcher.engine.workers.get('worker-0')?.syncState, 'synchronized')
  dispatcher.stop()
})
