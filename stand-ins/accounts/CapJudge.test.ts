import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { AccountResources, ClientAccount } from '../../src/accounts/index.js'
import { createStep } from '../platform/createStep.js'
import { CapHistory } from './CapHistory.js'
import { CapJudge } from './CapJudge.js'

const TASK = { processorsMilli: 1000, memoryMegabytes: 100, accelerators: 0 }
const NO_CAP = { processorsMilli: 0, memoryMegabytes: 0, accelerators: 0 }

function createAccount (name: string, cap: Partial<AccountResources>): ClientAccount {
  return { name, keyDigests: [], weight: 1, cap: { ...NO_CAP, ...cap } }
}

/** A judge of tasks `ACCOUNT.INDEX`, whose clock and store the test moves and disturbs. */
function createJudge (cap: Partial<AccountResources>, task: AccountResources = TASK) {
  const state = { now: 0, storeDisturbedAt: -Infinity }
  const history = CapHistory.create({ now: () => state.now, getStoreDisturbedAt: () => state.storeDisturbedAt })
  history.recordVersion([createAccount('coop', cap)])
  const judge = CapJudge.create({
    history, getAccountName: taskName => taskName.split('.')[0] || null, getResources: () => task
  })
  let started = 0
  const start = (name = 'coop') => {
    const { length } = judge.violations
    judge.recordStart(`${name}.${started++}`, 1, 'worker', false)
    return judge.violations.length === length
  }
  const change = (next: Partial<AccountResources>) => history.recordVersion([createAccount('coop', next)])
  return { state, history, judge, start, change }
}

test('a start above the cap by more than a tenth and its own task is reported, on whatever worker', () => {
  const { judge, start } = createJudge({ processorsMilli: 10_000 })
  for (let index = 0; index < 12; index++) assert.equal(start(), true, String(index))
  assert.equal(start(), false)
  assert.match(judge.violations[0], /^quota: account coop has 12000 processorsMilli, limit 11000, and starts 1000: /)
  for (let index = 0; index < 3; index++) judge.recordRunEnd('coop.0')
  assert.equal(start(), true)
})

test('each resource is judged by itself, 0 is no limit, and other accounts are not affected', () => {
  const memory = createJudge({ memoryMegabytes: 100 })
  assert.deepEqual([memory.start(), memory.start(), memory.start()], [true, true, false])
  assert.deepEqual([memory.start('other'), memory.start('other'), memory.start('')], [true, true, true])
  const accelerators = createJudge({ accelerators: 1 })
  for (let index = 0; index < 9; index++) assert.equal(accelerators.start(), true)
  const accelerated = createJudge({ accelerators: 1 }, { ...TASK, accelerators: 1 })
  assert.deepEqual([accelerated.start(), accelerated.start(), accelerated.start()], [true, true, false])
})

test('the highest cap counts until a lower one must be applied, which takes longer while the store is disturbed', () => {
  const { state, start, change } = createJudge({})
  for (let index = 0; index < 5; index++) start()
  change({ processorsMilli: 2000 })
  const isAllowed = (now: number, storeDisturbedAt: number) => {
    Object.assign(state, { now, storeDisturbedAt })
    return start()
  }
  assert.equal(isAllowed(4000, -Infinity), true)
  assert.equal(isAllowed(4001, -Infinity), false)
  assert.equal(isAllowed(4001, -1), false)
  assert.equal(isAllowed(7000, 3000), true)
  assert.equal(isAllowed(7001, 3000), false)
  assert.equal(isAllowed(10_000, 10_000), true)
  assert.equal(isAllowed(10_001, 10_001), false)
})

test('versions that follow each other quickly all count, and an account that one does not name keeps its cap', () => {
  const { state, start, change, history } = createJudge({ processorsMilli: 1000 })
  change({ processorsMilli: 3000 })
  state.now = 170
  change({ processorsMilli: 1000 })
  for (let index = 0; index < 4; index++) assert.equal(start(), true)
  assert.equal(start(), false)
  state.now = 4171
  history.recordVersion([])
  state.now = 9000
  assert.equal(start(), false)
})

test('tasks may wait from half of the lowest cap on, and a gang that does not fit as a whole', () => {
  const { judge, start, change } = createJudge({ processorsMilli: 10_000 })
  const step = createStep({ ...TASK, taskCount: 8 })
  for (let index = 0; index < 4; index++) start()
  assert.equal(judge.mayWait('coop', step), false)
  assert.equal(judge.mayWait('coop', { ...step, gang: true }), true)
  change({ processorsMilli: 8000 })
  assert.equal(judge.mayWait('coop', step), true)
  assert.equal(judge.mayWait(null, step), false)
  assert.equal(judge.mayWait('other', step), false)
})
