import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { DispatchEngine } from '../dispatch/index.js'
import type { StepSpecification } from '../jobs/index.js'
import { silentLogger, type LogFields } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { RecoveryMonitor } from './RecoveryMonitor.js'
import { WaitMonitor } from './WaitMonitor.js'

const EMPTY_REPORT = { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }

function createScenario (workerCount: number) {
  const clock = VirtualClock.create()
  const engine = DispatchEngine.create({ epoch: 7 })
  const lines: Array<[message: string, fields: LogFields]> = []
  const logger = { ...silentLogger, info: (message: string, fields = {}) => { lines.push([message, fields]) } }
  let startObstacle: string | null = null
  const monitor = WaitMonitor.create({ engine, clock, logger, getStartObstacle: () => startObstacle })
  const recoveryMonitor = RecoveryMonitor.create({ engine, clock, logger })
  for (let index = 0; index < workerCount; index++) {
    const worker = engine.setWorker(createWorkerEntry({ workerId: `worker-${index}` }))
    worker.registered = true
    engine.applyReport(worker, EMPTY_REPORT, clock.monotonicMilliseconds() - 1, clock.monotonicMilliseconds())
  }
  const submit = (jobId: string, step: Partial<StepSpecification>, accountName?: string): void => {
    const now = clock.monotonicMilliseconds()
    const submission = createSubmission([step], { jobId, ...accountName !== undefined && { accountName } })
    engine.jobs.add({ submission, progress: [], recovered: false }, now)
    engine.jobs.createDueOccurrences(engine.jobs.getJob(jobId)!, 0, now)
  }
  const checkFor = async (milliseconds: number): Promise<void> => {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 200) {
      monitor.check()
      recoveryMonitor.check()
      await clock.advance(200)
    }
  }
  const setStartObstacle = (value: string | null): void => { startObstacle = value }
  return { clock, engine, lines, submit, checkFor, setStartObstacle }
}

test('names why a short task waits for 3 s although workers have room, with the age of what is known and the epoch', async () => {
  const { engine, lines, submit, checkFor } = createScenario(3)
  const [paused, alsoPaused, unregistered] = engine.workers.values()
  for (const worker of [paused, alsoPaused]) worker.quarantinedUntil = Infinity
  unregistered.registered = false
  submit('short', { taskCount: 40 })
  await checkFor(2800)
  assert.deepEqual(lines, [])
  await checkFor(2000)
  assert.deepEqual(lines, [['task waits', {
    task: 'short.0.0.0',
    reason: 'workers-paused',
    waitMilliseconds: 3000,
    nextAttempt: 6001,
    epoch: 7,
    workersWithRoom: 3,
    obstacles: { paused: 2, 'not-registered': 1 },
    oldestReportMilliseconds: 3001,
    processorsMilli: 1000,
    memoryMegabytes: 1000,
    accelerators: 0,
    fills: false,
    gang: false,
    taskCount: 40,
    unreconciledWorkers: 0
  }]])
})

test('names that the owner may not start tasks, again with each other reason, and tasks without room not at all', async () => {
  const { engine, lines, submit, checkFor, setStartObstacle } = createScenario(2)
  setStartObstacle('renewal-too-old')
  submit('large', { processorsMilli: 5000 })
  submit('short', {})
  await checkFor(4000)
  setStartObstacle(null)
  await checkFor(2000)
  assert.deepEqual(lines.map(([message, { task, reason }]) => [message, task, reason]), [
    ['task waits', 'short.0.0.0', 'renewal-too-old'],
    ['task waits', 'short.0.0.0', 'not-planned']
  ])
  assert.equal(engine.takeOrders().length, 0)
})

test('logs at most ten waiting tasks in a second, and all of them in turn', async () => {
  const { lines, submit, checkFor } = createScenario(2)
  for (let index = 0; index < 60; index++) submit(`short-${index}`, { memoryMegabytes: 100 + index })
  await checkFor(3200)
  assert.ok(lines.length > 0 && lines.length <= 10, `${lines.length} lines`)
  await checkFor(6000)
  assert.equal(new Set(lines.map(([, { task }]) => task)).size, 60)
})

test('names a run of a short task whose start has had no outcome for 3 s', async () => {
  const { clock, engine, lines, submit, checkFor } = createScenario(2)
  submit('short', {})
  engine.plan(clock.monotonicMilliseconds(), 0, true)
  assert.equal(engine.takeOrders().length, 1)
  await checkFor(5000)
  assert.deepEqual(lines.map(([message, { task, runState, isSent }]) => [message, task, runState, isSent]), [
    ['run not settled', 'short.0.0.0', 'starting', false]
  ])
})

test('names the cap of an account for each account, and for long-running tasks, and not a worker', async () => {
  const { engine, lines, submit, checkFor } = createScenario(2)
  for (const worker of engine.workers.values()) worker.quarantinedUntil = Infinity
  const cap = { processorsMilli: 1000, memoryMegabytes: 0, accelerators: 0 }
  engine.setAccounts([{ name: 'coop', keyDigests: [], weight: 1, cap }])
  engine.accounts.getUsage('coop').add(cap)
  submit('capped', {}, 'coop')
  submit('capped-too', {}, 'coop')
  submit('lasting', { longRunning: true }, 'coop')
  submit('free', {}, 'utility')
  await checkFor(4000)
  assert.deepEqual(lines.map(([message, { task, reason, obstacles }]) => [message, task, reason, obstacles]), [
    ['task waits', 'capped.0.0.0', 'account-cap', { 'account-cap': 2 }],
    ['task waits', 'free.0.0.0', 'workers-paused', { paused: 2 }],
    ['long-running task waits', 'lasting.0.0.0', 'account-cap', undefined]
  ])
})
