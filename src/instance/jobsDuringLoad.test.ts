import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { createTestMetrics } from '../../stand-ins/platform/createTestMetrics.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { EmulatedTables } from '../../stand-ins/platform/EmulatedTables.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import type { HoldOutcome, OrderOutcome, StartOrder, WorkerClient, WorkerEntry } from '../dispatch/index.js'
import { SHARD_TABLE } from '../leases/ShardLease.js'
import type { JsonValue } from '../shared/JsonValue.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { DEFAULT_TABLE_LIMITS } from '../table/TableLimits.js'
import { encodeSubmission, HOLDING_TABLE, JOB_TABLE } from './jobRows.js'
import { ShardDispatcher } from './ShardDispatcher.js'
import type { SiteWatch } from './SiteWatch.js'

const TAKEN_OVER_AT = 1000
const EARLIER_STARTS_END_AT = TAKEN_OVER_AT + 5000
const EARLIER_LEASES_END_AT = TAKEN_OVER_AT + 12_300
const ACCEPTED: OrderOutcome = { kind: 'accepted', workerMilliseconds: null }

/** Creates a successor that reaches `worker-1` and not `worker-0`, where an earlier owner may still start tasks. */
function createSuccessor () {
  const clock = VirtualClock.create(TAKEN_OVER_AT)
  const tables = EmulatedTables.create({ clock })
  const put = (table: string, key: string, value: unknown) => tables.apply({
    operations: [{ kind: 'put', table, key, value: value as JsonValue, condition: { kind: 'any' } }]
  })
  const workers = new Map<string, WorkerEntry>()
  for (const workerId of ['worker-0', 'worker-1']) {
    workers.set(workerId, createWorkerEntry({ workerId, address: `${workerId}:1` }))
    put(HOLDING_TABLE, workerId, workers.get(workerId))
  }
  put(SHARD_TABLE, 'site', {})
  const client = tables.createClient(createRandom(1))
  const started: string[] = []
  const dispatcher = ShardDispatcher.create({
    shardId: 'site',
    fence: { epoch: 2, rowVersion: tables.get({ table: SHARD_TABLE, key: 'site' })!.version },
    tableLimits: DEFAULT_TABLE_LIMITS,
    tableService: client,
    feed: client,
    site: {
      getConfiguration: () => ({ queues: [] }), getDataCentresOut: () => new Set(), getWorkers: () => workers
    } as unknown as SiteWatch,
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    livenessSource: { listLiveWorkers: async () => ({ kind: 'ok', value: new Set(workers.keys()) }) },
    metrics: createTestMetrics(true),
    leaseMilliseconds: 6000,
    earlierLeasesEndAt: EARLIER_LEASES_END_AT,
    earlierStartsEndAt: EARLIER_STARTS_END_AT,
    assignmentsStoredSince: 0,
    createWorkerClient: ({ address }) => ({
      hold: async (): Promise<HoldOutcome> => {
        await new Promise<void>(resolve => { clock.setTimer(100, resolve) })
        const report = { workerMilliseconds: 1, bornAtMilliseconds: 1, running: [], ended: [] }
        return address === 'worker-1:1' ? { kind: 'reported', report } : { kind: 'unknown', reason: 'timeout' }
      },
      start: async ({ taskName }: StartOrder) => {
        started.push(taskName)
        return ACCEPTED
      },
      stop: async () => ACCEPTED,
      setPace: async () => ACCEPTED,
      close: () => {}
    }) as unknown as WorkerClient,
    getRenewalAge: () => 0,
    onDeposed: () => {}
  })
  const accept = (jobId: string, step: { longRunning?: boolean } = {}) =>
    put(JOB_TABLE, jobId, encodeSubmission(createSubmission([step], { jobId })))
  return { clock, dispatcher, started, accept }
}

// The successor started it at once, while the owner that had been suspended for 4 s started it elsewhere.
test('a short job accepted just after a takeover waits for the workers that an earlier owner may reach', async () => {
  const { clock, dispatcher, started, accept } = createSuccessor()
  dispatcher.run()
  await clock.advance(1000)
  accept('a-early')
  accept('a-lasting', { longRunning: true })
  await clock.advance(EARLIER_STARTS_END_AT - TAKEN_OVER_AT)
  assert.deepEqual([...new Set(started)], ['a-lasting.0.0.0'])
  accept('a-late')
  await clock.advance(1000)
  assert.deepEqual([...new Set(started)], ['a-lasting.0.0.0', 'a-late.0.0.0'])
  await clock.advance(EARLIER_LEASES_END_AT)
  assert.ok(started.includes('a-early.0.0.0'))
  dispatcher.stop()
})
