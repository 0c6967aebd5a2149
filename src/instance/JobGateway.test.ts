import assert from 'node:assert/strict'
import { test } from 'node:test'
import { absentOwnerAnswers } from '../../stand-ins/platform/absentOwnerAnswers.js'
import { EMULATED_QUEUE } from '../../stand-ins/platform/EmulatedSite.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { DEFAULT_TABLE_LIMITS } from '../table/TableLimits.js'
import { createTestMetrics } from '../../stand-ins/platform/createTestMetrics.js'
import { EmulatedTables } from '../../stand-ins/platform/EmulatedTables.js'
import { TransactionRepeater } from '../table/TransactionRepeater.js'
import { JOB_TABLE } from './jobRows.js'
import { JobGateway, type CallerWait } from './JobGateway.js'

const OWNER_MILLISECONDS = 400
const STORE_MILLISECONDS = 1000
const SPECIFICATION = {
  taskDescription: 'text', steps: [], startAtMilliseconds: 0, intervalMilliseconds: 0, repeatCount: 0
}

/** Creates a gateway whose owner does not respond and whose writes time out; each call takes its full time limit. */
function createGateway () {
  const clock = VirtualClock.create()
  const calls: string[] = []
  const respondAfter = async <Value>(name: string, milliseconds: number, value: Value): Promise<Value> => {
    calls.push(name)
    await new Promise<void>(resolve => { clock.setTimer(milliseconds, resolve) })
    return value
  }
  const gateway = JobGateway.create({
    tableLimits: DEFAULT_TABLE_LIMITS,
    tableService: {
      transact: () => respondAfter('write', STORE_MILLISECONDS, { kind: 'unknown' as const, reason: 'timeout' }),
      read: () => respondAfter('read', STORE_MILLISECONDS, { kind: 'ok' as const, value: null }),
      readMany: () => respondAfter('read', STORE_MILLISECONDS, { kind: 'unavailable' as const, reason: 'timeout' }),
      scan: () => respondAfter('read', STORE_MILLISECONDS, { kind: 'unavailable' as const, reason: 'timeout' })
    },
    peer: {
      probe: () => respondAfter('probe', OWNER_MILLISECONDS, { kind: 'silent' as const, reason: 'timeout' }),
      getJobState: () => respondAfter('owner', OWNER_MILLISECONDS, null),
      countWaiting: () => respondAfter('owner', OWNER_MILLISECONDS, null),
      storeSubmission: () => respondAfter('owner', OWNER_MILLISECONDS, 'unknown' as const),
      storeCancellation: () => respondAfter('owner', OWNER_MILLISECONDS, 'unknown' as const)
    },
    metrics: createTestMetrics(false),
    ownerApi: absentOwnerAnswers,
    isOwner: () => false,
    getOwnerAddress: () => 'owner:1',
    clock,
    logger: silentLogger
  })
  return { gateway, clock, calls }
}

function createWait (milliseconds: number): CallerWait {
  return { milliseconds, hasDisconnected: () => false }
}

test('a lookup makes no call after the time limit of its caller', async () => {
  const { gateway, clock, calls } = createGateway()
  const outcome = gateway.getState('a', createWait(300))
  await clock.advance(5000)
  assert.deepEqual(await outcome, { kind: 'unavailable' })
  assert.deepEqual(calls, ['owner'])
})

test('a lookup returns its result although the time limit of its caller has passed', async () => {
  const { gateway, clock, calls } = createGateway()
  const outcome = gateway.getState('a', createWait(1500))
  await clock.advance(5000)
  assert.deepEqual(await outcome, { kind: 'missing' })
  assert.deepEqual(calls, ['owner', 'read', 'read'])
})

test('no call is made for a caller that has disconnected', async () => {
  const { gateway, clock, calls } = createGateway()
  const wait: CallerWait = { milliseconds: 3000, hasDisconnected: () => true }
  const outcomes = Promise.all([
    gateway.getState('a', wait),
    gateway.submit('b', SPECIFICATION, EMULATED_QUEUE, wait),
    gateway.cancel('c', wait)
  ])
  await clock.advance(5000)
  assert.deepEqual((await outcomes).map(outcome => outcome.kind), ['unavailable', 'unknown', 'unavailable'])
  assert.deepEqual(calls, [])
})

test('a submission is not retried for a caller that disconnects during the first call', async () => {
  const { gateway, clock, calls } = createGateway()
  let isDisconnected = false
  const outcome = gateway.submit(
    'a', SPECIFICATION, EMULATED_QUEUE, { milliseconds: 10_000, hasDisconnected: () => isDisconnected })
  isDisconnected = true
  await clock.advance(15_000)
  assert.deepEqual(await outcome, { kind: 'unknown' })
  assert.deepEqual(calls, ['write'])
})

/** Creates a gateway without an owner, whose writes to the store get no response while the client has faults. */
function createStoringGateway () {
  const clock = VirtualClock.create()
  const tables = EmulatedTables.create({ clock })
  const client = tables.createClient(() => 0)
  const repeatClient = tables.createClient(() => 0)
  const gateway = JobGateway.create({
    tableLimits: DEFAULT_TABLE_LIMITS,
    tableService: client,
    repeatTable: repeatClient,
    repeater: TransactionRepeater.create({
      clock, repeatsPerSecond: 20, isOverloaded: () => false, onRepeat: () => {}
    }),
    peer: {} as never,
    metrics: createTestMetrics(false),
    ownerApi: absentOwnerAnswers,
    isOwner: () => false,
    getOwnerAddress: () => null,
    clock,
    logger: silentLogger
  })
  const submit = () => gateway.submit('a', SPECIFICATION, EMULATED_QUEUE, createWait(3000))
  return { clock, tables, client, repeatClient, gateway, submit }
}

test('a submission and a cancellation without a response are repeated before the first send has timed out', async () => {
  const { clock, client, gateway, submit } = createStoringGateway()
  client.faults.lateShare = 1
  const outcomes: string[] = []
  submit().then(({ kind }) => outcomes.push(kind))
  await clock.advance(300)
  gateway.cancel('a', createWait(3000)).then(({ kind }) => outcomes.push(kind))
  await clock.advance(300)
  assert.deepEqual(outcomes, ['accepted', 'cancelled'])
})

test('a submission of which one send has no response is not rejected although its repeats are refused', async () => {
  const { clock, tables, client, repeatClient, submit } = createStoringGateway()
  client.faults.lateShare = 1
  repeatClient.faults.isRefusing = true
  const submission = submit()
  await clock.advance(10_000)
  assert.deepEqual(await submission, { kind: 'unknown' })
  assert.equal(tables.getTable(JOB_TABLE).rows.length, 1)
})

test('a submission that the store refuses is rejected', async () => {
  const { clock, tables, client, submit } = createStoringGateway()
  client.faults.isRefusing = true
  const submission = submit()
  await clock.advance(10_000)
  assert.equal((await submission).kind, 'rejected')
  assert.deepEqual(tables.getTable(JOB_TABLE).rows, [])
})
