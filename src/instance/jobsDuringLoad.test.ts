import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { createTestMetrics } from '../../stand-ins/platform/createTestMetrics.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { EmulatedTables } from '../../stand-ins/platform/EmulatedTables.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import type {
  HoldOutcome, OrderOutcome, StartOrder, WorkerClient, WorkerEntry, WorkerReport
} from '../dispatch/index.js'
import { SHARD_TABLE } from '../leases/ShardLease.js'
import type { JsonValue } from '../shared/JsonValue.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import type { TableFollower } from '../table/TableFollower.js'
import { DEFAULT_TABLE_LIMITS } from '../table/TableLimits.js'
import { encodeSubmission, HOLDING_TABLE, JOB_TABLE } from './jobRows.js'
import { ShardDispatcher } from './ShardDispatcher.js'
import type { SiteWatch } from './SiteWatch.js'

const TAKEN_OVER_AT = 1000
const EARLIER_STARTS_END_AT = TAKEN_OVER_AT + 5000
const EARLIER_LEASES_END_AT = TAKEN_OVER_AT + 12_300
const EMPTY_REPORT: WorkerReport = { workerMilliseconds: 1, bornAtMilliseconds: 1, running: [], ended: [] }
const ACCEPTED: OrderOutcome = { kind: 'accepted', workerMilliseconds: null }

/** How the successor meets `worker-0`, where an earlier owner may still start tasks. */
interface FirstWorker {
  /** Its report; null while the successor does not reach it. */
  report: WorkerReport | null
  /** Called before its first report arrives. */
  onFirstCall (): void
}

/** Creates a successor that reaches `worker-1`. Its feed delivers changes late when it waits for them. */
function createSuccessor (first: FirstWorker = { report: null, onFirstCall: () => {} }) {
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
  const feed = {
    readTable: async (table: string) => await client.readTable(table),
    readTableWithin: async (table: string, bytes: number) => await client.readTableWithin(table, bytes),
    waitForChanges: async (table: string, after: number, wait: number) => {
      if (wait > 0) await new Promise<void>(resolve => { clock.setTimer(wait, resolve) })
      if (client.faults.cutOff) return { kind: 'unavailable' as const, reason: 'no answer' }
      return await client.waitForChanges(table, after, 0)
    }
  }
  const started: string[] = []
  const stopped: string[] = []
  let firstCalls = 0
  const dispatcher = ShardDispatcher.create({
    shardId: 'site',
    fence: { epoch: 2, rowVersion: tables.get({ table: SHARD_TABLE, key: 'site' })!.version },
    tableLimits: DEFAULT_TABLE_LIMITS,
    tableService: client,
    feed,
    site: {
      getConfiguration: () => ({ queues: [] }), getDataCentresOut: () => new Set(), getWorkers: () => workers
    } as unknown as SiteWatch,
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    livenessSource: { listLiveWorkers: async () => ({ kind: 'ok', value: new Set(workers.keys()) }) },
    metrics: createTestMetrics(true),
    leaseMilliseconds: 6000,
    processors: 1,
    earlierLeasesEndAt: EARLIER_LEASES_END_AT,
    earlierStartsEndAt: EARLIER_STARTS_END_AT,
    assignmentsStoredSince: 0,
    createWorkerClient: ({ address }) => ({
      hold: async (): Promise<HoldOutcome> => {
        await new Promise<void>(resolve => { clock.setTimer(100, resolve) })
        if (address === 'worker-1:1') return { kind: 'reported', report: EMPTY_REPORT }
        if (firstCalls++ === 0) first.onFirstCall()
        return first.report === null ? { kind: 'unknown', reason: 'timeout' } : { kind: 'reported', report: first.report }
      },
      start: async ({ taskName }: StartOrder) => {
        started.push(taskName)
        return ACCEPTED
      },
      stop: async (taskName: string) => {
        stopped.push(taskName)
        return ACCEPTED
      },
      setPace: async () => ACCEPTED,
      close: () => {}
    }) as unknown as WorkerClient,
    random: createRandom(1),
    getRenewalAge: () => 0,
    onDeposed: () => {}
  })
  const accept = (jobId: string, step: { longRunning?: boolean } = {}) =>
    put(JOB_TABLE, jobId, encodeSubmission(createSubmission([step], { jobId })))
  return { clock, dispatcher, started, stopped, accept, faults: client.faults }
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
  // The feed is read once more after the last start of the earlier owner.
  await clock.advance(3000)
  accept('a-late')
  await clock.advance(2000)
  assert.deepEqual([...new Set(started)], ['a-lasting.0.0.0', 'a-late.0.0.0'])
  await clock.advance(EARLIER_LEASES_END_AT)
  assert.ok(started.includes('a-early.0.0.0'))
  dispatcher.stop()
})

// It was read after the last possible start of the earlier owner, and counted as stored after that.
test('a job that the feed delivers late counts by the time at which it may have been stored', async () => {
  const { clock, dispatcher, started, accept, faults } = createSuccessor()
  dispatcher.run()
  await clock.advance(1000)
  faults.cutOff = true
  accept('a-early')
  await clock.advance(EARLIER_STARTS_END_AT - TAKEN_OVER_AT + 1000)
  faults.cutOff = false
  await clock.advance(3500)
  assert.notEqual(dispatcher.engine.jobs.getState('a-early'), null)
  assert.deepEqual(started, [])
  dispatcher.stop()
})

// The run was stopped as one without a job, and its task started elsewhere before that stop had ended it.
test('a run of a job that the feed has not delivered is adopted with the first report of its worker', async () => {
  const running = [{ taskName: 'a-unread.0.0.0', attempt: 1, checkpoint: '', percent: 10, usageFigure: 1000 }]
  const first: FirstWorker = { report: { ...EMPTY_REPORT, running }, onFirstCall: () => accept('a-unread') }
  const { clock, dispatcher, started, stopped, accept } = createSuccessor(first)
  dispatcher.run()
  await clock.advance(4000)
  dispatcher.stop()
  assert.deepEqual([started, stopped], [[], []])
  assert.equal(dispatcher.engine.jobs.getState('a-unread'), 'running')
})

test('the end of a run of a job that the feed has not delivered ends its task', async () => {
  const ended = [{ number: 1, taskName: 'a-unread.0.0.0', attempt: 1, end: 'done' as const, checkpoint: '' }]
  const first: FirstWorker = { report: { ...EMPTY_REPORT, ended }, onFirstCall: () => accept('a-unread') }
  const { clock, dispatcher, started, accept } = createSuccessor(first)
  dispatcher.run()
  await clock.advance(4000)
  dispatcher.stop()
  assert.deepEqual(started, [])
  assert.equal(dispatcher.engine.jobs.getState('a-unread'), 'completed')
})

test('a report is applied although the feed does not respond, so that the lease of its worker is renewed', async () => {
  const { clock, dispatcher } = createSuccessor({ report: EMPTY_REPORT, onFirstCall: () => {} })
  dispatcher.run()
  await clock.advance(50)
  const { unreconciled } = dispatcher.engine
  const follower = (dispatcher as unknown as { jobFollower: TableFollower }).jobFollower
  follower.catchUp = async () => await new Promise(() => {})
  await clock.advance(1000)
  assert.equal(unreconciled.isEmpty, false)
  await clock.advance(1500)
  assert.equal(unreconciled.isEmpty, true)
  dispatcher.stop()
})
