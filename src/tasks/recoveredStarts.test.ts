import assert from 'node:assert/strict'
import { test } from 'node:test'
import { MemoryTableService } from '../../stand-ins/table-service/MemoryTableService.js'
import { StandInWorkerPool } from '../../stand-ins/workers/StandInWorkerPool.js'
import { EMPTY_CONFIGURATION } from '../configuration/Configuration.js'
import { FirstFitPlacementEngine } from '../placement/FirstFitPlacementEngine.js'
import { CompiledPolicy } from '../policy/CompiledPolicy.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import type { WorkerAnswer } from '../workers/WorkerProtocol.js'
import { getTaskIds, type JournalRecord } from './JournalRecord.js'
import type { OwnerEffect, OwnerMessage } from './ownerMessages.js'
import { ShardOwner } from './ShardOwner.js'
import { ShardState } from './ShardState.js'

const START_MILLISECONDS = 100_000
const STEP_MILLISECONDS = 100
const TASK_COUNT = 4
const RUN_MILLISECONDS = 600
/** The interval between two exchanges with an idle worker, which report the ends of runs, is 5 s. */
const LONGEST_MILLISECONDS = 12_000
const SIZE = { processors: 1, memoryMegabytes: 1000, accelerators: 0 }
const WORKER = {
  workerId: 'w0',
  address: 'a:1',
  dataCentre: 'dc',
  rack: 'k',
  capacity: { processors: 16, memoryMegabytes: 64_000, accelerators: 0 }
}
const JOB = {
  jobId: 'orders',
  team: 't',
  kind: 'order',
  size: SIZE,
  dataCentre: null,
  payload: { runMilliseconds: RUN_MILLISECONDS }
}
const TASK_IDS = getTaskIds(JOB.jobId, TASK_COUNT)
const POLICY = CompiledPolicy.create([{ rule: 'never-repeat', kind: 'order', who: 'test', why: 'test', line: 1 }])

/** A successor of an owner that journalled the starts of all tasks on one worker, and the worker. */
class Successor {
  readonly clock = VirtualClock.create(START_MILLISECONDS)
  readonly records: JournalRecord[] = []
  readonly pool = StandInWorkerPool.create({
    workers: [WORKER], clock: this.clock, seed: 1, objectStore: MemoryTableService.create()
  })

  private owner: ShardOwner | null = null

  /** Lets the worker accept the journalled starts as the earlier owner sends them. */
  async runStartsOfEarlierOwner (): Promise<void> {
    const starts = TASK_IDS.map(taskId => ({
      taskId, attempt: 1, kind: JOB.kind, size: SIZE, checkpoint: null, payload: JOB.payload
    }))
    const outcome = await this.pool.exchange(WORKER.workerId, WORKER.address, {
      shardId: 'dc',
      epoch: 1,
      proof: this.clock.monotonicMilliseconds(),
      starts,
      stops: [],
      throttles: [],
      acknowledgedSequence: 0,
      acknowledgedIncarnation: null,
      listTasks: false
    })
    assert.equal(outcome.kind, 'answered')
    const { results } = (outcome as { answer: Extract<WorkerAnswer, { kind: 'accepted' }> }).answer
    assert.ok(results.every(({ outcome }) => outcome === 'started'))
  }

  restartWorker (): void {
    this.pool.setFault(WORKER.workerId, 'dead')
    this.pool.setFault(WORKER.workerId, 'none')
  }

  async takeOver (): Promise<void> {
    const now = this.clock.monotonicMilliseconds()
    const state = ShardState.create()
    const accepted: JournalRecord = { type: 'accepted', key: 'k', entry: { kind: 'job', job: JOB, count: TASK_COUNT } }
    for (const record of [{ type: 'worker', worker: WORKER } as const, accepted]) state.apply(record, now)
    for (const taskId of TASK_IDS) {
      state.apply({ type: 'start', taskId, attempt: 1, workerId: WORKER.workerId, reserved: SIZE }, now)
    }
    this.owner = ShardOwner.create({
      shardId: 'dc',
      dataCentre: 'dc',
      region: 'r',
      epoch: 2,
      state,
      lastSequence: 1,
      engine: FirstFitPlacementEngine.create(),
      dataCentreVersion: null,
      isOutOfService: false,
      now
    })
    const dataCentres = [{ name: 'dc', state: 'in-service' as const, lost: false }]
    const configuration = { ...EMPTY_CONFIGURATION, version: 1, dataCentres }
    await this.send({ kind: 'configuration', configuration, policy: POLICY })
    const listed = { ...WORKER, instanceId: WORKER.workerId, role: 'worker' as const, region: 'r', state: 'live' as const }
    await this.send({ kind: 'workers-listed', workers: [listed] })
  }

  async advance (milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      await this.clock.advance(STEP_MILLISECONDS)
      await this.send({ kind: 'lease-renewed', renewedAt: this.clock.monotonicMilliseconds() })
    }
  }

  getTaskStates (): string[] {
    return TASK_IDS.map(taskId => this.owner!.core.state.tasks.get(taskId)!.state)
  }

  getRuns (): string[] {
    return this.pool.runLog.getReport().runs.map(({ taskId, attempt, ending }) => `${taskId}#${attempt} ${ending}`).sort()
  }

  private async send (message: OwnerMessage): Promise<void> {
    for (const effect of this.owner!.step(message, this.clock.monotonicMilliseconds())) await this.execute(effect)
  }

  private async execute (effect: OwnerEffect): Promise<void> {
    switch (effect.kind) {
      case 'scan-inbox': return await this.send({ kind: 'inbox-scanned', rows: [] })
      case 'write-journal':
        for (const { record } of effect.batch.entries) if (record !== null) this.records.push(record)
        return await this.send({ kind: 'journal-settled', outcome: { kind: 'committed' } })
      case 'look-up-checkpoint': {
        const { taskId, attempt } = effect
        return await this.send({ kind: 'checkpoint-looked-up', taskId, attempt, checkpoint: null })
      }
      case 'exchange': {
        const { worker: { workerId, address }, sent } = effect
        const outcome = await this.pool.exchange(workerId, address, sent.exchange)
        await this.send({ kind: 'exchanged', workerId, sent, outcome })
      }
    }
  }
}

function getCompletedRuns (attempt: number): string[] {
  return TASK_IDS.map(taskId => `${taskId}#${attempt} completed`)
}

/** The starts were journalled and not sent, so no attempt has run and none of the tasks may end as failed. */
async function checkUnsentStarts (successor: Successor): Promise<void> {
  await successor.advance(LONGEST_MILLISECONDS)
  assert.deepEqual(successor.getRuns(), getCompletedRuns(2))
  assert.deepEqual(successor.getTaskStates(), TASK_IDS.map(() => 'completed'))
  const endings = successor.records.flatMap(record => record.type === 'ended' ? [record.state] : [])
  assert.deepEqual(endings, TASK_IDS.map(() => 'completed'))
}

test('tasks that are never repeated run once after a takeover between the journalling and the sending of their start', async () => {
  const successor = new Successor()
  await successor.takeOver()
  await checkUnsentStarts(successor)
})

test('tasks that are never repeated run once when their worker restarted before the takeover and no start was sent', async () => {
  const successor = new Successor()
  successor.restartWorker()
  await successor.takeOver()
  await checkUnsentStarts(successor)
})

test('tasks that are never repeated run once when their start was sent and they run or have ended at the takeover', async () => {
  for (const milliseconds of [0, RUN_MILLISECONDS / 2, 2 * RUN_MILLISECONDS]) {
    const successor = new Successor()
    await successor.runStartsOfEarlierOwner()
    await successor.clock.advance(milliseconds)
    await successor.takeOver()
    await successor.advance(LONGEST_MILLISECONDS)
    assert.deepEqual(successor.getRuns(), getCompletedRuns(1))
    assert.deepEqual(successor.getTaskStates(), TASK_IDS.map(() => 'completed'))
  }
})

test('tasks that are never repeated resume once when the restart of their worker has ended their runs before a takeover', async () => {
  const successor = new Successor()
  await successor.runStartsOfEarlierOwner()
  await successor.clock.advance(RUN_MILLISECONDS / 2)
  successor.restartWorker()
  await successor.takeOver()
  await successor.advance(LONGEST_MILLISECONDS)
  const expected = TASK_IDS.flatMap(taskId => [`${taskId}#1 lost`, `${taskId}#2 completed`])
  assert.deepEqual(successor.getRuns(), expected)
  assert.deepEqual(successor.getTaskStates(), TASK_IDS.map(() => 'completed'))
})
