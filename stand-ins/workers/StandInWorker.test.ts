import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import type { StartCommand, WorkerAnswer, WorkerExchange } from '../../src/workers/WorkerProtocol.js'
import { MemoryTableService } from '../table-service/MemoryTableService.js'
import { StandInWorkerPool } from './StandInWorkerPool.js'

type Accepted = Extract<WorkerAnswer, { kind: 'accepted' }>

const START_MILLISECONDS = 100_000

function createSetUp () {
  const clock = VirtualClock.create(START_MILLISECONDS)
  const objectStore = MemoryTableService.create()
  const capacity = { processors: 16, memoryMegabytes: 60_000, accelerators: 0 }
  const workers = ['w1', 'w2'].map(workerId => ({ workerId, dataCentre: 'south-a', rack: 'r1', capacity }))
  const pool = StandInWorkerPool.create({ workers, clock, seed: 1, objectStore, penalties: { 'slow|noisy': 8 } })
  const send = async (exchange: Partial<WorkerExchange>, workerId = 'w1') => {
    const outcome = await pool.exchange(workerId, '', createExchange(exchange))
    assert.equal(outcome.kind, 'answered')
    return (outcome as { answer: WorkerAnswer }).answer
  }
  const accept = async (exchange: Partial<WorkerExchange>, workerId = 'w1') => {
    const answer = await send(exchange, workerId)
    assert.equal(answer.kind, 'accepted')
    return answer as Accepted
  }
  return { clock, objectStore, pool, send, accept }
}

function createExchange (exchange: Partial<WorkerExchange>): WorkerExchange {
  return {
    shardId: 's',
    epoch: 1,
    proof: START_MILLISECONDS,
    starts: [],
    stops: [],
    throttles: [],
    acknowledgedSequence: 0,
    acknowledgedIncarnation: null,
    listTasks: false,
    ...exchange
  }
}

function createStart (changes: Partial<StartCommand> = {}): StartCommand {
  const size = { processors: 2, memoryMegabytes: 1000, accelerators: 0 }
  return {
    taskId: 't', attempt: 1, kind: 'draft', size, checkpoint: null, payload: { runMilliseconds: 10_000 }, ...changes
  }
}

const startCases = [
  { name: 'a fresh proof is accepted', proofAge: 3000, fault: 'none' as const, expected: 'started' },
  { name: 'a proof older than the window is refused', proofAge: 3001, fault: 'none' as const, expected: 'proof-too-old' },
  { name: 'an expired lease is refused', proofAge: 30_000, fault: 'none' as const, expected: 'lease-ended' },
  { name: 'a start without a proof is refused', proofAge: null, fault: 'none' as const, expected: 'lease-ended' },
  { name: 'a proof from the future is refused', proofAge: -1, fault: 'none' as const, expected: 'lease-ended' },
  { name: 'a refusing worker starts no tasks', proofAge: 0, fault: 'refusing' as const, expected: 'broken' }
]

for (const { name, proofAge, fault, expected } of startCases) {
  test(`start window: ${name}`, async () => {
    const { pool, accept } = createSetUp()
    pool.setFault('w1', fault)
    const proof = proofAge === null ? null : START_MILLISECONDS - proofAge
    const { results } = await accept({ proof, starts: [createStart()] })
    const result = results[0] as { outcome: string, reason?: string }
    assert.equal(result.reason ?? result.outcome, expected)
  })
}

test('rejects an epoch below the highest one seen, so that a deposed owner cannot start tasks', async () => {
  const { send, pool } = createSetUp()
  await send({ epoch: 3 })
  assert.deepEqual(await send({ epoch: 2, starts: [createStart()] }), { kind: 'stale-epoch', currentEpoch: 3 })
  assert.equal(pool.runLog.getReport().runs.length, 0)
})

test('runs a repeated start once, whether the first run is still running or has ended', async () => {
  const { clock, accept, pool } = createSetUp()
  const outcomes = []
  for (const delay of [0, 0, 10_001]) {
    await clock.advance(delay)
    const { results } = await accept({ proof: clock.monotonicMilliseconds(), starts: [createStart()] })
    outcomes.push((results[0] as { outcome: string }).outcome)
  }
  assert.deepEqual(outcomes, ['started', 'already-running', 'refused'])
  assert.equal(pool.runLog.getReport().runs.length, 1)
})

test('repeats events until they are acknowledged', async () => {
  const { clock, accept } = createSetUp()
  await accept({ starts: [createStart(), createStart({ taskId: 'u', payload: { runMilliseconds: 1, fails: true } })] })
  await clock.advance(10_000)
  const events = [
    { taskId: 'u', attempt: 1, sequence: 1, ending: 'failed', checkpoint: null },
    { taskId: 't', attempt: 1, sequence: 2, ending: 'completed', checkpoint: null }
  ]
  assert.deepEqual((await accept({})).events, events)
  assert.deepEqual((await accept({})).events, events)
  const { incarnation } = await accept({})
  const acknowledged = await accept({ acknowledgedSequence: 1, acknowledgedIncarnation: incarnation })
  assert.deepEqual(acknowledged.events, events.slice(1))
})

test('a delayed acknowledgement for an earlier process of the worker discards no event', async () => {
  const { clock, accept, pool } = createSetUp()
  const { incarnation } = await accept({})
  pool.getWorker('w1')!.restart()
  await accept({ starts: [createStart()] })
  await clock.advance(10_000)
  const { events } = await accept({ acknowledgedSequence: 1, acknowledgedIncarnation: incarnation })
  assert.deepEqual(events.map(({ taskId, ending }) => ({ taskId, ending })), [{ taskId: 't', ending: 'completed' }])
})

test('ends the lease 30 s after the time of the proof, not after the renewal', async () => {
  const { clock, accept, pool } = createSetUp()
  await accept({ starts: [createStart({ payload: { runMilliseconds: 1_000_000 } })] })
  await clock.advance(20_000)
  await accept({ proof: START_MILLISECONDS + 5000 })
  await clock.advance(14_999)
  assert.equal(pool.getWorker('w1')?.getRunningCount(), 1)
  await clock.advance(1)
  assert.equal(pool.getWorker('w1')?.getRunningCount(), 0)
  const { events } = await accept({ proof: null })
  assert.deepEqual(events.map(event => [event.ending, event.checkpoint]), [['stopped', 'checkpoints/t/1']])
})

test('resumes a stopped task from its checkpoint with only the remaining work', async () => {
  const { clock, accept, pool } = createSetUp()
  await accept({ starts: [createStart()] })
  await clock.advance(7000)
  const stop = { taskId: 't', attempt: 1, checkpoint: true }
  const expected = { command: 'stop', taskId: 't', attempt: 1, outcome: 'stopped', checkpoint: 'checkpoints/t/1' }
  assert.deepEqual((await accept({ stops: [stop] })).results, [expected])
  assert.deepEqual((await accept({ stops: [stop] })).results, [expected], 'a repeated stop gets the same answer')
  const resumed = createStart({ attempt: 2, checkpoint: 'checkpoints/t/1' })
  await accept({ proof: clock.monotonicMilliseconds(), starts: [resumed] }, 'w2')
  await clock.advance(3001)
  const runs = pool.runLog.getReport().runs.map(run => [run.workerId, run.endedAt! - run.startedAt, run.ending])
  assert.deepEqual(runs, [['w1', 7000, 'stopped'], ['w2', 3000, 'completed']])
})

test('returns the checkpoint that the run started from when a stop happens during a store outage', async () => {
  const { clock, accept, objectStore } = createSetUp()
  await objectStore.putObject('checkpoints/t/1', Buffer.from('{"remaining":5000}'))
  await accept({ starts: [createStart({ attempt: 2, checkpoint: 'checkpoints/t/1' })] })
  await clock.advance(1000)
  objectStore.faults.down = true
  const { results } = await accept({ stops: [{ taskId: 't', attempt: 2, checkpoint: true }] })
  assert.equal((results[0] as { checkpoint: string }).checkpoint, 'checkpoints/t/1')
})

test('reports usage that lags and differs from the declared size, and slows down disturbed kinds', async () => {
  const { clock, accept } = createSetUp()
  const big = { processors: 16, memoryMegabytes: 1000, accelerators: 0 }
  await accept({ starts: [createStart({ kind: 'slow' }), createStart({ taskId: 'n', kind: 'noisy', size: big })] })
  assert.equal((await accept({})).usage, null)
  await clock.advance(1000)
  await accept({})
  await clock.advance(3000)
  const { usage } = await accept({})
  assert.equal(usage?.measuredAt, START_MILLISECONDS + 1000)
  const slow = usage!.tasks.find(task => task.taskId === 't')!
  assert.ok(slow.slowdown > 2, `slowdown ${slow.slowdown}`)
  assert.notEqual(slow.processors, 2)
})

test('runs a throttled task at the speed of its share', async () => {
  const { clock, accept, pool } = createSetUp()
  await accept({ starts: [createStart()], throttles: [{ taskId: 't', attempt: 1, share: 0.5 }] })
  await clock.advance(19_999)
  assert.equal(pool.getWorker('w1')?.getRunningCount(), 1)
  await clock.advance(2)
  assert.equal(pool.getWorker('w1')?.getRunningCount(), 0)
})

test('starts tasks beyond the capacity of the worker and counts the overcommitment in the run log', async () => {
  const { accept, pool } = createSetUp()
  const starts = [1, 2, 3].map(number => createStart({
    taskId: `t${number}`, size: { processors: 6, memoryMegabytes: 1, accelerators: 0 }
  }))
  const { results } = await accept({ starts })
  assert.deepEqual(results.map(result => result.outcome), ['started', 'started', 'started'])
  assert.equal(pool.runLog.getReport().overCommitments, 1)
})

test('counts overlapping runs of one task but not consecutive ones', async () => {
  const { clock, accept, pool } = createSetUp()
  await accept({ starts: [createStart()] })
  await accept({ starts: [createStart({ attempt: 2 })] }, 'w2')
  assert.equal(pool.runLog.getReport().doubleRuns, 1)
  await clock.advance(10_001)
  await accept({ proof: clock.monotonicMilliseconds(), starts: [createStart({ attempt: 3 })] }, 'w2')
  await clock.advance(10_001)
  const { doubleRuns, repeatedCompletions } = pool.runLog.getReport()
  assert.deepEqual({ doubleRuns, repeatedCompletions }, { doubleRuns: 1, repeatedCompletions: 2 })
})

test('fails each task that a broken worker starts', async () => {
  const { clock, accept, pool } = createSetUp()
  pool.setFault('w1', 'broken')
  await accept({ starts: [createStart()] })
  await clock.advance(50)
  assert.deepEqual((await accept({})).events.map(event => event.ending), ['failed'])
})

test('refuses a start that a worker received while frozen, because the proof is too old once it resumes', async () => {
  const { clock, pool, accept } = createSetUp()
  pool.setFault('w1', 'frozen')
  const pending = pool.exchange('w1', '', createExchange({ starts: [createStart()] }))
  await clock.advance(4000)
  assert.equal((await pending).kind, 'unknown')
  pool.setFault('w1', 'none')
  await accept({ proof: null })
  assert.equal(pool.runLog.getReport().runs.length, 0)
})

test('returns from the dead fault as a new incarnation without tasks', async () => {
  const { pool, accept } = createSetUp()
  const before = await accept({ starts: [createStart()] })
  pool.setFault('w1', 'dead')
  assert.equal((await pool.exchange('w1', '', createExchange({}))).kind, 'unknown')
  pool.setFault('w1', 'none')
  const after = await accept({ listTasks: true })
  assert.notEqual(after.incarnation, before.incarnation)
  assert.deepEqual(after.tasks, [])
  assert.equal(pool.runLog.getReport().runs[0].ending, 'lost')
})

test('keeps the tasks of an unreachable worker running until its lease ends', async () => {
  const { clock, pool, accept } = createSetUp()
  await accept({ starts: [createStart({ payload: { runMilliseconds: 60_000 } })] })
  pool.setFault('w1', 'unreachable')
  assert.equal((await pool.exchange('w1', '', createExchange({ epoch: 2 }))).kind, 'unknown')
  await clock.advance(29_999)
  assert.equal(pool.getWorker('w1')?.getRunningCount(), 1)
  await clock.advance(1)
  assert.equal(pool.getWorker('w1')?.getRunningCount(), 0)
})
