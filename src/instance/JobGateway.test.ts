import assert from 'node:assert/strict'
import { test } from 'node:test'
import { absentOwnerAnswers } from '../../stand-ins/platform/absentOwnerAnswers.js'
import { EMULATED_QUEUE } from '../../stand-ins/platform/EmulatedSite.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { DEFAULT_TABLE_LIMITS } from '../table/TableLimits.js'
import { createTestMetrics } from '../../stand-ins/platform/createTestMetrics.js'
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
