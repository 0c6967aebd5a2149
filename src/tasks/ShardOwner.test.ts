import assert from 'node:assert/strict'
import { test } from 'node:test'
import { FirstFitPlacementEngine } from '../placement/FirstFitPlacementEngine.js'
import { CompiledPolicy, type PolicyRule } from '../policy/CompiledPolicy.js'
import { EMPTY_CONFIGURATION } from '../configuration/Configuration.js'
import type { ListedInstance } from '../membership/InstanceList.js'
import type { CancelOutcome } from '../scheduler/SchedulerApi.js'
import type { WorkerExchange } from '../workers/WorkerProtocol.js'
import type { InboxEntry, JournalRecord } from './JournalRecord.js'
import type { OwnerEffect, OwnerMessage } from './ownerMessages.js'
import { ShardOwner } from './ShardOwner.js'
import { ShardState } from './ShardState.js'

const CAPACITY = { processors: 64, memoryMegabytes: 640_000, accelerators: 0 }
const SIZE = { processors: 1, memoryMegabytes: 1000, accelerators: 0 }
const ORIGIN = { who: 'test', why: 'test', line: 1 }
const RULES: PolicyRule[] = [
  { rule: 'urgent', kind: 'check', withinMilliseconds: 1000, ...ORIGIN },
  { rule: 'undisturbed', kind: 'watcher', ...ORIGIN }
]

/** Drives an owner and answers each effect immediately, as a healthy store and healthy workers do. */
class OwnerHarness {
  now = 1000
  readonly exchanges: Array<{ workerId: string, exchange: WorkerExchange }> = []
  readonly records: JournalRecord[] = []
  readonly transfers: Array<{ shardId: string, entry: InboxEntry }> = []
  readonly owner = ShardOwner.create({
    shardId: 'dc',
    dataCentre: 'dc',
    region: 'r',
    epoch: 1,
    state: ShardState.create(),
    lastSequence: 0,
    engine: FirstFitPlacementEngine.create(),
    dataCentreVersion: null,
    isOutOfService: false,
    now: 1000
  })

  /** Whether workers confirm stops; until a stop is confirmed, the task stays on its worker. */
  confirmsStops = true
  private readonly running = new Map<string, number>()
  private inbox: Array<{ table: string, key: string, version: number, value: any }> = []
  private version = 1

  constructor (workers: number) {
    const listed = Array.from({ length: workers }, (_, index): ListedInstance => ({
      instanceId: `w${index}`,
      role: 'worker',
      address: 'a:1',
      dataCentre: 'dc',
      region: 'r',
      rack: 'k',
      state: 'live',
      capacity: CAPACITY
    }))
    this.configure('in-service')
    this.send({ kind: 'workers-listed', workers: listed })
    this.advance(2000)
  }

  configure (state: 'in-service' | 'out'): void {
    const dataCentres = [{ name: 'dc', state, lost: false }]
    const configuration = { ...EMPTY_CONFIGURATION, version: 1, dataCentres }
    this.send({ kind: 'configuration', configuration, policy: CompiledPolicy.create(RULES) })
  }

  submit (jobId: string, kind: string, count: number, size = SIZE): void {
    const job = { jobId, team: 't', kind, size, dataCentre: null, payload: null }
    this.inbox.push({ table: 'inbox-dc', key: jobId, version: this.version++, value: { kind: 'job', job, count } })
    this.send({ kind: 'inbox-changed' })
  }

  send (message: OwnerMessage): void {
    for (const effect of this.owner.step(message, this.now)) this.answer(effect)
  }

  advance (durationMilliseconds: number): void {
    for (let passed = 0; passed < durationMilliseconds; passed += 100) {
      this.now += 100
      this.send({ kind: 'lease-renewed', renewedAt: this.now })
    }
  }

  private answer (effect: OwnerEffect): void {
    if (effect.kind === 'scan-inbox') {
      this.send({ kind: 'inbox-scanned', rows: this.inbox.splice(0) })
    } else if (effect.kind === 'write-journal') {
      for (const { record, rows } of effect.batch.entries) {
        if (record !== null) this.records.push(record)
        if (rows?.transfer !== undefined) this.transfers.push(rows.transfer)
      }
      this.send({ kind: 'journal-settled', outcome: { kind: 'committed' } })
    } else if (effect.kind === 'answer') {
      effect.run()
    } else if (effect.kind === 'exchange') {
      const { worker: { workerId }, sent } = effect
      this.exchanges.push({ workerId, exchange: sent.exchange })
      for (const { taskId, attempt } of sent.exchange.starts) this.running.set(taskId, attempt)
      const starts = sent.exchange.starts.map(({ taskId, attempt }) =>
        ({ command: 'start' as const, taskId, attempt, outcome: 'started' as const }))
      const stops = this.confirmsStops
        ? sent.exchange.stops.map(({ taskId, attempt }) =>
          ({ command: 'stop' as const, taskId, attempt, outcome: 'stopped' as const, checkpoint: `c/${taskId}` }))
        : []
      const tasks = sent.exchange.listTasks ? [] : null
      this.send({
        kind: 'exchanged',
        workerId,
        sent,
        outcome: {
          kind: 'answered',
          answer: {
            kind: 'accepted',
            workerTime: this.now,
            incarnation: 'i',
            results: [...starts, ...stops],
            events: [],
            usage: null,
            tasks
          }
        }
      })
    }
  }
}

test('drains a data centre out of service batch kinds first, undisturbed kinds last, with bounded evictions', () => {
  const harness = new OwnerHarness(4)
  harness.submit('watchers', 'watcher', 20)
  harness.submit('checks', 'check', 20)
  harness.submit('drafts', 'draft', 60)
  harness.advance(3000)
  harness.confirmsStops = false
  harness.configure('out')
  harness.advance(1500)
  const evicting = [...harness.owner.core.evicting]
  assert.equal(evicting.length, 32)
  assert.deepEqual(new Set(evicting.map(task => task.job.kind)), new Set(['draft']))
  harness.confirmsStops = true
  harness.advance(30_000)
  const order = harness.records.flatMap(record => record.type === 'requeued' ? [record.taskId.split('-')[0]] : [])
  assert.deepEqual([...new Set(order)], ['drafts', 'checks', 'watchers'])
  assert.equal(order.length, 100)
})

test('transfers tasks of a data centre out of service with their checkpoint and next attempt', () => {
  const harness = new OwnerHarness(1)
  harness.submit('drafts', 'draft', 5)
  harness.advance(3000)
  const summary = { freeProcessors: 100, freeMemoryMegabytes: 1e6, freeAccelerators: 0, waiting: 0 }
  harness.send({ kind: 'other-shards', shards: [{ shardId: 'other', region: 'r', summary }] })
  harness.configure('out')
  harness.advance(5000)
  const moved = harness.transfers.flatMap(({ entry }) => entry.kind === 'transfer' ? entry.tasks : [])
  assert.deepEqual(moved.map(({ taskId, attempt, checkpoint }) => ({ taskId, attempt, checkpoint })),
    Array.from({ length: 5 }, (_, index) =>
      ({ taskId: `drafts-${index}`, attempt: 2, checkpoint: `c/drafts-${index}` })))
  const journalled = harness.records.flatMap(record => record.type === 'transferred' ? record.taskIds : [])
  assert.deepEqual(journalled, moved.map(({ taskId }) => taskId))
})

test('writes one record per cancelled waiting task and two per cancelled running task in a burst', () => {
  const harness = new OwnerHarness(2)
  harness.submit('drafts', 'draft', 500)
  harness.advance(5000)
  const before = harness.records.length
  const exchangesBefore = harness.exchanges.length
  const outcomes: CancelOutcome[] = []
  for (let index = 0; index < 500; index++) {
    const taskId = `drafts-${index}`
    harness.send({ kind: 'cancel', taskId, answer: outcome => { outcomes.push(outcome) } })
  }
  harness.advance(3000)
  assert.equal(outcomes.filter(outcome => outcome.kind === 'accepted').length, 500)
  const placed = 128
  assert.equal(harness.records.length - before, 500 + placed)
  const stops = harness.exchanges.slice(exchangesBefore).flatMap(({ exchange }) => exchange.stops)
  assert.equal(stops.length, placed)
  assert.ok([...harness.owner.core.state.tasks.values()].every(task => task.state === 'cancelled'))
})

test('starts urgent tasks before older batch tasks and lets no oversized task block other classes', () => {
  const harness = new OwnerHarness(1)
  harness.owner.core.isOutOfService = true
  harness.submit('giants', 'draft', 1, { ...SIZE, processors: 65 })
  harness.submit('drafts', 'draft', 100)
  harness.submit('checks', 'check', 10)
  harness.advance(1000)
  harness.configure('in-service')
  harness.advance(5000)
  const starts = harness.records.flatMap(record => record.type === 'start' ? [record.taskId.split('-')[0]] : [])
  assert.deepEqual(starts.slice(0, 10), Array(10).fill('checks'))
  assert.equal(starts.length, 64)
})

test('limits the rate of starts after a data centre returns to service', () => {
  const harness = new OwnerHarness(4)
  harness.configure('out')
  harness.submit('drafts', 'draft', 250)
  harness.advance(1000)
  harness.configure('in-service')
  harness.advance(3000)
  const starts = harness.records.filter(record => record.type === 'start').length
  assert.ok(starts >= 60 && starts <= 80, `${starts} starts in 3 s`)
})

test('an acknowledgement names the worker process that reported the events', () => {
  const harness = new OwnerHarness(1)
  harness.advance(10_000)
  const [first, ...later] = harness.exchanges.map(({ exchange }) => exchange.acknowledgedIncarnation)
  assert.equal(first, null)
  assert.deepEqual([...new Set(later)], ['i'])
})
