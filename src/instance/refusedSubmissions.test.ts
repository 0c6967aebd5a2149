import assert from 'node:assert/strict'
import { test } from 'node:test'
import { absentOwnerAnswers } from '../../stand-ins/platform/absentOwnerAnswers.js'
import { createStep } from '../../stand-ins/platform/createStep.js'
import { createTestMetrics } from '../../stand-ins/platform/createTestMetrics.js'
import { EMULATED_QUEUE, EMULATED_WAIT } from '../../stand-ins/platform/EmulatedSite.js'
import { EmulatedTables } from '../../stand-ins/platform/EmulatedTables.js'
import type { AdmissionControl, AdmissionDecision } from '../admission/index.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { DEFAULT_TABLE_LIMITS } from '../table/TableLimits.js'
import { TransactionRepeater } from '../table/TransactionRepeater.js'
import { JobGateway } from './JobGateway.js'
import { FINISHED_JOB_VALUE, JOB_TABLE } from './jobRows.js'

const SPECIFICATION = {
  taskDescription: 'text', steps: [createStep({})], startAtMilliseconds: 0, intervalMilliseconds: 0, repeatCount: 0
}
const LATE_MILLISECONDS = 5000
const REFUSED: AdmissionDecision = {
  kind: 'refused',
  retryAfterMilliseconds: 7500,
  summaryAge: 0,
  epoch: 1,
  load: {
    serviceName: 'desk',
    accountName: null,
    priority: 0,
    fills: false,
    aheadMilliseconds: 60_000,
    excessShare: 1,
    meanWork: 1
  }
}

/** Creates two gateways on one store; each refuses all jobs while its `isRefusing` is set. */
function createGateways () {
  const clock = VirtualClock.create(100_000)
  const tables = EmulatedTables.create({ clock })
  const create = () => {
    const state = { isRefusing: false }
    const client = tables.createClient(() => 0)
    const decide = (): AdmissionDecision => state.isRefusing ? REFUSED : { kind: 'admitted' }
    const gateway = JobGateway.create({
      tableLimits: DEFAULT_TABLE_LIMITS,
      tableService: client,
      repeater: TransactionRepeater.create({
        clock, repeatsPerSecond: 20, isOverloaded: () => false, onRepeat: () => {}
      }),
      peer: {} as never,
      metrics: createTestMetrics(false),
      ownerApi: absentOwnerAnswers,
      isOwner: () => false,
      getOwnerAddress: () => null,
      admission: { decide } as unknown as AdmissionControl,
      clock,
      logger: silentLogger
    })
    const submit = (elapsedMilliseconds = 0) =>
      gateway.submit('a', SPECIFICATION, EMULATED_QUEUE, { ...EMULATED_WAIT, elapsedMilliseconds })
    return { state, client, gateway, submit }
  }
  const settle = async <Value>(promise: Promise<Value>): Promise<Value> => {
    await clock.advance(4000)
    return await promise
  }
  const isStored = (): boolean => {
    const { value } = tables.get({ table: JOB_TABLE, key: 'a' }) ?? {}
    return value !== undefined && Object.hasOwn(value as object, 'specification')
  }
  return { clock, tables, first: create(), second: create(), settle, isStored }
}

test('a refused job is not stored, is missing for its caller, and is stored when it is submitted later', async () => {
  const { clock, first, second, settle, isStored } = createGateways()
  first.state.isRefusing = true
  assert.deepEqual(await settle(first.submit()), { kind: 'refused', retryAfterSeconds: 8 })
  assert.equal(isStored(), false)
  assert.deepEqual(await settle(second.gateway.getState('a', EMULATED_WAIT)), { kind: 'missing' })
  assert.deepEqual(await settle(second.gateway.cancel('a', EMULATED_WAIT)), { kind: 'missing' })
  assert.equal((await settle(first.submit())).kind, 'refused')
  await clock.advance(8000)
  assert.equal((await settle(second.submit())).kind, 'accepted')
  assert.equal(isStored(), true)
  assert.equal((await settle(first.submit())).kind, 'accepted')
})

test('a repeat of a stored job, or of one that has ended, is accepted although its instance refuses jobs', async () => {
  const { tables, first, second, settle } = createGateways()
  second.state.isRefusing = true
  assert.equal((await settle(first.submit())).kind, 'accepted')
  assert.equal((await settle(second.submit())).kind, 'accepted')
  tables.apply({
    operations: [
      { kind: 'put', table: JOB_TABLE, key: 'a', value: FINISHED_JOB_VALUE, condition: { kind: 'any' } }
    ]
  })
  assert.equal((await settle(second.submit())).kind, 'accepted')
})

test('a write of another instance that is still on the way does not store a refused job', async () => {
  const { clock, first, second, settle, isStored } = createGateways()
  first.client.faults.lateShare = 1
  first.client.faults.lateMilliseconds = LATE_MILLISECONDS
  assert.equal((await settle(first.submit())).kind, 'unknown')
  second.state.isRefusing = true
  assert.equal((await settle(second.submit())).kind, 'refused')
  await clock.advance(3 * LATE_MILLISECONDS)
  assert.equal(isStored(), false)
})

test('a late write over an earlier refusal does not store a job that is refused again', async () => {
  const { clock, first, second, settle, isStored } = createGateways()
  second.state.isRefusing = true
  assert.equal((await settle(second.submit())).kind, 'refused')
  const late = first.submit()
  // The first write shows the row of the refusal; the one that replaces it is late.
  while (first.client.writeCount === 0) await clock.advance(1)
  first.client.faults.lateShare = 1
  first.client.faults.lateMilliseconds = LATE_MILLISECONDS
  await clock.advance(500)
  assert.equal((await settle(second.submit())).kind, 'refused')
  assert.ok(['unknown', 'refused'].includes((await late).kind))
  await clock.advance(3 * LATE_MILLISECONDS)
  assert.equal(isStored(), false)
})

test('of two copies at the same time, one refused and one admitted, the admitted one is refused too', async () => {
  const { clock, first, second, settle, isStored } = createGateways()
  second.state.isRefusing = true
  const refused = second.submit()
  await clock.advance(500)
  assert.equal((await settle(first.submit())).kind, 'refused')
  assert.equal((await refused).kind, 'refused')
  assert.equal(isStored(), false)
})

test('a copy whose body arrives long after the other one was refused is refused too', async () => {
  const { first, second, settle, isStored } = createGateways()
  second.state.isRefusing = true
  assert.equal((await settle(second.submit())).kind, 'refused')
  assert.equal((await settle(first.submit(4000))).kind, 'refused')
  assert.equal(isStored(), false)
  assert.equal((await settle(first.submit())).kind, 'accepted')
})

test('a refusal that cannot be stored is not given', async () => {
  const { first, settle, isStored } = createGateways()
  first.state.isRefusing = true
  first.client.faults.isRefusing = true
  assert.equal((await settle(first.submit())).kind, 'rejected')
  first.client.faults.isRefusing = false
  first.client.faults.lateShare = 1
  assert.equal((await settle(first.submit())).kind, 'unknown')
  assert.equal(isStored(), false)
})
