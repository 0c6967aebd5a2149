import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { LimitedStore } from '../../stand-ins/platform/LimitedStore.js'
import { DispatchEngine, type DispatchOrder, type ListedCompletion } from '../dispatch/index.js'
import { decodeProgressKey, type StepSpecification, type StoredProgressRow } from '../jobs/index.js'
import { SHARD_TABLE } from '../leases/ShardLease.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { DEFAULT_TABLE_LIMITS } from '../table/TableLimits.js'
import { PROGRESS_TABLE } from './jobRows.js'
import { ProgressWriter } from './ProgressWriter.js'

const WIDE_TASK_COUNT = 2400
const EMPTY_REPORT = { workerMilliseconds: 1000, bornAtMilliseconds: 1, running: [], ended: [] }

function createEngine (epoch = 1) {
  const engine = DispatchEngine.create({ epoch })
  const capacity = { processorsMilli: 4_000_000, memoryMegabytes: 4_000_000, accelerators: 0 }
  const worker = engine.setWorker(createWorkerEntry({ workerId: 'desk-north-a-117', capacity }))
  worker.registered = true
  engine.applyReport(worker, EMPTY_REPORT, 0, 1000)
  return { engine, worker }
}

function addJob (engine: DispatchEngine, jobId: string, step: Partial<StepSpecification>, store?: LimitedStore): void {
  const progress = store === undefined ? [] : getProgress(store, jobId)
  engine.jobs.add({ submission: createSubmission([step], { jobId }), progress, recovered: false }, 1000)
}

function getProgress (store: LimitedStore, jobId: string): StoredProgressRow[] {
  return store.getRows(PROGRESS_TABLE).filter(({ key }) => decodeProgressKey(key).jobId === jobId)
}

function createWriter (engine: DispatchEngine, store: LimitedStore, clock: VirtualClock): ProgressWriter {
  return ProgressWriter.create({
    shardId: 'site',
    engine,
    fence: { epoch: 1, rowVersion: store.put({ table: SHARD_TABLE, key: 'site', value: {} }) },
    tableLimits: DEFAULT_TABLE_LIMITS,
    tableService: store.client,
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    onDurable: () => {},
    onDeposed: () => {}
  })
}

function takeStarts (engine: DispatchEngine): Array<DispatchOrder & { kind: 'start' }> {
  engine.markDirty()
  engine.plan(1000, 1000, true)
  return engine.takeOrders().flatMap(order => order.kind === 'start' ? [order] : [])
}

/** Runs all tasks; a third of those of `wide` ends as done, fails and stops with a checkpoint, the others are done. */
function endRuns (engine: DispatchEngine, getCheckpoint: (index: number) => string): void {
  const ends = ['done', 'failed', 'stopped'] as const
  const [worker] = engine.workers.values()
  const ended = takeStarts(engine).map(({ run }, index): ListedCompletion => {
    const end = run.task.name.startsWith('wide') ? ends[run.task.index % ends.length] : 'done'
    return {
      number: index + 1,
      taskName: run.task.name,
      attempt: run.attempt,
      end,
      checkpoint: end === 'stopped' ? getCheckpoint(index) : ''
    }
  })
  for (const number of ended.keys()) {
    engine.applyReport(worker, { ...EMPTY_REPORT, ended: [ended[number]] }, 1010, 1020)
  }
}

function describeTasks (engine: DispatchEngine, jobId: string): string[] {
  const { tasks } = engine.jobs.getJob(jobId)!.occurrences.get(0)!.steps[0]
  return Array.from({ length: tasks.count }, (_, index) => {
    const task = tasks.get(index)
    return task === undefined ? `${index} done` : `${index} ${[...task.failedAttempts].join()} ${task.checkpoint}`
  })
}

/** Writes the progress of an engine for a while, and returns whether all of it is durable. */
async function writeProgress (engine: DispatchEngine, store: LimitedStore): Promise<boolean> {
  const clock = VirtualClock.create(1000)
  const writer = createWriter(engine, store, clock)
  writer.run()
  await clock.advance(10_000)
  writer.stop()
  await clock.advance(1000)
  return engine.jobs.changedCount === 0
}

test('a job with many long-running tasks does not delay the starts and ends of all other jobs', async () => {
  const clock = VirtualClock.create(1000)
  const { engine } = createEngine()
  const store = LimitedStore.create()
  addJob(engine, 'wide', { taskCount: WIDE_TASK_COUNT, longRunning: true })
  addJob(engine, 'small', { longRunning: true })
  const writer = createWriter(engine, store, clock)
  const starts = takeStarts(engine)
  assert.equal(starts.length, WIDE_TASK_COUNT + 1)
  const areStored = starts.map(({ run }) => writer.waitForTask(run.task))
  writer.run()
  await clock.advance(10_000)
  writer.stop()
  await clock.advance(1000)
  assert.deepEqual(new Set(await Promise.all(areStored)), new Set([true]))
  const successor = createEngine(2).engine
  addJob(successor, 'wide', { taskCount: WIDE_TASK_COUNT, longRunning: true }, store)
  const { tasks } = successor.jobs.getJob('wide')!.occurrences.get(0)!.steps[0]
  assert.equal([...tasks.getAllCreated()].filter(task => task.assignedWorkerId === 'desk-north-a-117').length, WIDE_TASK_COUNT)
})

// The progress of all tasks was one row, which the store rejected again and again with those of all other jobs.
test('progress that exceeds a row of the store is stored in several rows, beside that of other jobs', async () => {
  const { engine } = createEngine()
  const store = LimitedStore.create()
  const step = { taskCount: 2 * WIDE_TASK_COUNT, checkpointing: true }
  addJob(engine, 'wide', step)
  addJob(engine, 'small', {})
  endRuns(engine, index => `${String(index).padStart(6, '0')}0000abc000`)
  assert.equal(await writeProgress(engine, store), true)
  const successor = createEngine(2).engine
  addJob(successor, 'wide', step, store)
  assert.deepEqual(describeTasks(successor, 'wide'), describeTasks(engine, 'wide'))
  assert.deepEqual(getProgress(store, 'small').map(({ value }) => (value as { state: string }).state), ['completed'])
})

test('checkpoints that exceed the row of a segment are stored in further rows', async () => {
  const { engine } = createEngine()
  const store = LimitedStore.create()
  const step = { taskCount: 300, checkpointing: true }
  addJob(engine, 'wide', step)
  endRuns(engine, index => String(index).padStart(9000, '0'))
  assert.equal(await writeProgress(engine, store), true)
  const successor = createEngine(2).engine
  addJob(successor, 'wide', step, store)
  assert.deepEqual(describeTasks(successor, 'wide'), describeTasks(engine, 'wide'))
})

test('a row that the store rejects for another reason delays no row of another job', async () => {
  const { engine } = createEngine()
  const store = LimitedStore.create(key => key === 'odd')
  for (const jobId of ['odd', 'first', 'second']) addJob(engine, jobId, { taskCount: 2 })
  endRuns(engine, () => '')
  await writeProgress(engine, store)
  assert.deepEqual(['odd', 'first', 'second'].map(jobId => getProgress(store, jobId).length), [0, 1, 1])
})

test('the progress of a wide job from an earlier version moves to its segments before the first row is replaced', async () => {
  const step = { taskCount: 300 }
  const done = { '0.0': Array.from({ length: 299 }, (_, index) => index) }
  const { engine } = createEngine(2)
  const store = LimitedStore.create()
  engine.jobs.add({
    submission: createSubmission([step], { jobId: 'wide' }),
    progress: [{ key: 'wide', version: 1, value: { done } }],
    recovered: false
  }, 1000)
  assert.deepEqual(engine.jobs.takeChanged(1).map(({ index }) => index), [1])
  engine.jobs.returnChanged([...engine.jobs.getJob('wide')!.progressSegments.values()])
  assert.equal(await writeProgress(engine, store), true)
  const successor = createEngine(3).engine
  addJob(successor, 'wide', step, store)
  assert.deepEqual(describeTasks(successor, 'wide'), describeTasks(engine, 'wide'))
})
