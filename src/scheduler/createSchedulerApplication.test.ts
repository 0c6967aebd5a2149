import assert from 'node:assert/strict'
import type { AddressInfo } from 'node:net'
import { after, before, test } from 'node:test'
import { EMPTY_CONFIGURATION } from '../configuration/Configuration.js'
import { ClusterSimulation, type SimulatedScheduler } from '../../tools/simulation/ClusterSimulation.js'
import { createSchedulerApplication } from './createSchedulerApplication.js'
import { createSchedulerMetrics } from './SchedulerMetrics.js'
import { createSchedulerPeer } from './SchedulerPeer.js'
import { createSchedulerRouter } from './schedulerRouter.js'

const cluster = ClusterSimulation.create({
  seed: 1, dataCentres: [{ name: 'dc-a', region: 'south', workers: 1, schedulers: 1 }]
})
const { scheduler }: SimulatedScheduler = cluster.schedulers.get('dc-a-s0')!
const application = createSchedulerApplication({
  service: scheduler.service,
  router: createSchedulerRouter({
    service: scheduler.service, getConfiguration: () => EMPTY_CONFIGURATION, answerExchange: () => null
  }),
  registry: createSchedulerMetrics(scheduler.shards),
  isReady: () => scheduler.isReady()
})
let address = ''

before(async () => {
  await cluster.advance(10_000)
  await new Promise<void>(resolve => application.listen(0, '127.0.0.1', resolve))
  address = `127.0.0.1:${(application.server.address() as AddressInfo).port}`
})

after(() => {
  cluster.kill('dc-a-s0')
  application.server.closeAllConnections()
  application.server.close()
})

/** The store of the simulation answers by the virtual clock, so the clock moves until the request is answered. */
async function call (
  method: string,
  path: string,
  body?: unknown
): Promise<{ status: number, outcome: string | null, body: any }> {
  const text = body === undefined ? null : JSON.stringify(body)
  const progress = { isAnswered: false }
  const pending = fetch(`http://${address}${path}`, { method, body: text }).finally(() => { progress.isAnswered = true })
  while (!progress.isAnswered) await cluster.advance(20, 20)
  const response = await pending
  return { status: response.status, outcome: response.headers.get('papayamoor-outcome'), body: await response.json() }
}

test('a job that is not one is answered as not run, with every fault', async () => {
  const answer = await call('POST', '/jobs', { team: 't', key: 'k', kind: 'draft', count: 0, size: { processors: -1 } })
  assert.equal(answer.status, 400)
  assert.equal(answer.outcome, 'not-run')
  assert.match(answer.body.detail, /count.*processors.*memoryMegabytes/)
})

test('a job larger than every worker is rejected with the reason', async () => {
  const size = { processors: 99, memoryMegabytes: 1000 }
  const answer = await call('POST', '/jobs', { team: 't', key: 'large', kind: 'draft', size })
  assert.equal(answer.status, 409)
  assert.equal(answer.outcome, 'not-run')
  assert.equal(answer.body.detail, 'larger-than-every-worker')
})

test('a repeated submission is the same job, and its task can be read and cancelled', async () => {
  const job = {
    team: 't',
    key: 'k',
    kind: 'draft',
    size: { processors: 1, memoryMegabytes: 1000 },
    payload: { runMilliseconds: 600_000 }
  }
  const first = await call('POST', '/jobs', job)
  const second = await call('POST', '/jobs', job)
  assert.equal(first.status, 202)
  assert.deepEqual([second.body.jobId, second.body.repeated], [first.body.jobId, true])
  await cluster.advance(3000)
  const [taskId] = first.body.taskIds
  const report = await call('GET', `/tasks/${taskId}`)
  assert.deepEqual([report.status, report.body.state, report.body.attempt], [200, 'running', 1])
  assert.equal((await call('DELETE', `/tasks/${taskId}`)).status, 202)
  await cluster.advance(3000)
  assert.equal((await call('DELETE', `/tasks/${taskId}`)).status, 409)
  assert.equal((await call('GET', `/tasks/${taskId}`)).body.state, 'cancelled')
})

test('an unknown task is not found', async () => {
  assert.equal((await call('GET', '/tasks/none-0')).status, 404)
  assert.equal((await call('DELETE', '/tasks/none-0')).status, 404)
})

test('a peer asks over trpc, and an owner that never held an epoch does not claim to have given it up', async () => {
  const peer = createSchedulerPeer(address)
  const status = await peer.getStatus()
  assert.deepEqual(status.shards.map(({ shardId, owner }) => ({ shardId, owner })), [{ shardId: 'dc-a', owner: 'dc-a-s0' }])
  assert.deepEqual(await peer.releaseShard({ shardId: 'dc-a', epoch: 0 }), { released: false })
  // A successor that asks has taken the shard over, so the owner drops it.
  assert.deepEqual(await peer.releaseShard({ shardId: 'dc-a', epoch: 1 }), { released: true })
  await cluster.advance(12_000)
  assert.equal(await peer.inboxChanged({ shardId: 'dc-a' }), null)
  assert.equal((await peer.listWorkersDirectly()).length, 1)
  assert.equal(await peer.getTaskDirectly('none-0'), null)
})

test('metrics have units in their names and the shard as their only label', async () => {
  const text = await (await fetch(`http://${address}/metrics`)).text()
  const own = text.split('\n').filter(line => line.startsWith('papayamoor_scheduler_'))
  assert.ok(own.some(line => line.startsWith('papayamoor_scheduler_task_starts_total 1')))
  for (const line of own) assert.match(line, /^papayamoor_scheduler_[a-z_]+(_total|_tasks\{shard="dc-a"\}) \d+$/)
})
