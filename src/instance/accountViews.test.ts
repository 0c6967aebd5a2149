import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { Registry } from 'prom-client'
import { absentOwnerAnswers } from '../../stand-ins/platform/absentOwnerAnswers.js'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine } from '../dispatch/index.js'
import { silentLogger } from '../shared/Logger.js'
import { createAccountMetrics } from './createAccountMetrics.js'
import { createPeerApplication } from './createPeerApplication.js'
import { describeAccounts } from './describeAccounts.js'
import type { AccountsAnswer } from './OwnerPeer.js'

const NONE = { processorsMilli: 0, memoryMegabytes: 0, accelerators: 0 }
const CAP = { ...NONE, processorsMilli: 2000 }

function createEngine (): DispatchEngine {
  const engine = DispatchEngine.create({ epoch: 1 })
  const worker = engine.setWorker(createWorkerEntry())
  worker.registered = true
  engine.applyReport(worker, { workerMilliseconds: 1, bornAtMilliseconds: 1, running: [], ended: [] }, 0, 1)
  return engine
}

test('operators see the cap, the usage and the share of each account, and why its tasks wait', () => {
  const engine = createEngine()
  assert.deepEqual(describeAccounts(engine, 1), [])
  engine.setAccounts([{ name: 'coop', keyDigests: [], weight: 3, cap: CAP }])
  for (const [jobId, accountName, taskCount] of [['a', 'coop', 5], ['b', undefined, 40]] as const) {
    const specification = { taskCount, processorsMilli: 1000, memoryMegabytes: 1000 }
    const submission = createSubmission([specification], { jobId, ...accountName !== undefined && { accountName } })
    engine.jobs.add({ submission, progress: [], recovered: false }, 1)
  }
  engine.plan(2, 2, true)
  assert.deepEqual(describeAccounts(engine, 3), [
    {
      name: 'coop',
      weight: 3,
      cap: CAP,
      used: { processorsMilli: 2000, memoryMegabytes: 2000, accelerators: 0 },
      dominantShare: 0.5,
      evenShare: 0.75,
      waitingTasks: { 'account-cap': 3 }
    },
    {
      name: null,
      weight: 1,
      cap: NONE,
      used: { processorsMilli: 2000, memoryMegabytes: 2000, accelerators: 0 },
      dominantShare: 0.5,
      evenShare: 0.25,
      waitingTasks: { 'no-free-capacity': 38 }
    }
  ])
})

test('a site with very many accounts has a label for 200 of them, and one common label', async () => {
  const engine = createEngine()
  const names = Array.from({ length: 300 }, (_, index) => `account-${index}`)
  engine.setAccounts(names.map(name => ({ name, keyDigests: [], weight: 1, cap: CAP })))
  for (const name of names) engine.accounts.getUsage(name).add({ ...NONE, processorsMilli: 500 })
  const registry = new Registry()
  createAccountMetrics(registry, {
    getUsages: () => engine.accounts.getAll(), describeAccounts: () => describeAccounts(engine, 1)
  })
  const lines = (await registry.metrics()).split('\n').filter(line => line.startsWith('papayamoor_instance_account_processors{'))
  assert.equal(lines.length, 202)
  assert.ok(lines.includes('papayamoor_instance_account_processors{account="other"} 50'))
  assert.ok(lines.includes('papayamoor_instance_account_processors{account="account-199"} 0.5'))
})

test('only the owner describes the accounts; other instances name its address', async context => {
  let answer: AccountsAnswer = { kind: 'not-owner', ownerAddress: 'owner:7' }
  const ownerApi = { ...absentOwnerAnswers, describeAccounts: () => answer }
  const server = createServer(
    createPeerApplication({ ownerApi, registry: new Registry(), logger: silentLogger }).handler)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  context.after(() => server.close())
  const read = async () => {
    const response = await fetch(`http://127.0.0.1:${(server.address() as AddressInfo).port}/accounts`)
    return [response.status, await response.json()]
  }
  assert.deepEqual(await read(), [503, { ownerAddress: 'owner:7' }])
  answer = { kind: 'owner', accounts: [] }
  assert.deepEqual(await read(), [200, { accounts: [] }])
})
