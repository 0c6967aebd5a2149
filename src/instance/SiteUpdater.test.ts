import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { EmulatedTables } from '../../stand-ins/platform/EmulatedTables.js'
import { MemoryObjects } from '../../stand-ins/platform/MemoryObjects.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import {
  DispatchEngine, type DispatchOrder, type OrderOutcome, type WorkerEntry, type WorkerRecord
} from '../dispatch/index.js'
import type { JsonValue } from '../shared/JsonValue.js'
import { silentLogger } from '../shared/Logger.js'
import { getTestSeed } from '../shared/testSeed.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import type { QueueConfiguration, SiteConfiguration } from './SiteConfiguration.js'
import { SiteUpdater, type ChangedWorkers, type SiteState } from './SiteUpdater.js'
import { SiteWatch } from './SiteWatch.js'

const SEQUENCES = 60
const EVENTS = 250
const WORKER_COUNT = 6
const SERVICES = ['desk', 'mail']
const DATA_CENTRES = ['south-a', 'south-b']

/** A site whose parts are replaced when they change. */
class TestSite implements SiteState {
  configuration: SiteConfiguration | null = null
  dataCentresOut: ReadonlySet<string> = new Set()
  readonly workers = new Map<string, WorkerEntry>()

  getConfiguration = () => this.configuration
  getDataCentresOut = () => this.dataCentresOut
  getWorkers = () => this.workers

  configure (version: number, serviceName: string): void {
    const queue = { name: 'queue', serviceName } as QueueConfiguration
    const cap = { processorsMilli: version % 3 * 2000, memoryMegabytes: 0, accelerators: 0 }
    const accounts = version % 4 === 0 ? null : [{ name: 'coop', keyDigests: [], weight: 1, cap }]
    this.configuration = { version, queues: [queue], maximumBodyBytes: 1000, accounts }
  }
}

/** An engine with the addresses of the workers that it follows, and the starts whose outcome is open. */
class Followed {
  readonly engine = DispatchEngine.create({ epoch: 1 })
  readonly addresses = new Map<string, string>()
  readonly starts: Array<DispatchOrder & { kind: 'start' }> = []
  readonly orders: string[] = []
  readonly follow = (worker: WorkerRecord): void => {
    this.addresses.set(worker.entry.workerId, worker.entry.address)
  }

  plan (now: number): void {
    for (const worker of this.engine.workers.values()) worker.registered = worker.clockReading !== null
    this.engine.markDirty()
    this.engine.plan(now, now, true)
    for (const order of this.engine.takeOrders()) {
      const run = order.kind === 'stop' ? `${order.taskName}#${order.attempt}` : `${order.run.task.name}#${order.run.attempt}`
      this.orders.push(`${order.kind} ${run} on ${order.worker.entry.workerId}`)
      if (order.kind !== 'start') continue
      order.run.sentAt = now
      this.starts.push(order)
    }
  }

  report (workerId: string, bornAtMilliseconds: number, lists: boolean, now: number): void {
    const worker = this.engine.workers.get(workerId)
    if (worker === undefined) return
    const running = [...worker.runs.values()].filter(run => lists && run.sentAt < now).map(({ task, attempt }) =>
      ({ taskName: task.name, attempt, checkpoint: '', percent: 10, usageFigure: 0 }))
    this.engine.applyReport(worker, { workerMilliseconds: now, bornAtMilliseconds, running, ended: [] }, now - 1, now)
  }

  completeStart (outcome: OrderOutcome, now: number): void {
    const start = this.starts.shift()
    if (start !== undefined) this.engine.applyStartOutcome(start.worker, start.run, outcome, now)
  }

  getState (): object {
    const workers = [...this.engine.workers.values()].map(worker => ({
      ...worker,
      changeCount: 0,
      orphanedRuns: [...worker.orphanedRuns.keys()],
      reservingTask: worker.reservingTask?.name,
      runs: [...worker.runs].map(([key, { state, sentAt, confirmedAt, startUncertain }]) =>
        ({ key, state, sentAt, confirmedAt, startUncertain }))
    }))
    return { workers, orders: this.orders, addresses: [...this.addresses] }
  }
}

/** Applies the whole site, whatever has changed. */
function applyWholeSite (site: TestSite, { engine, follow }: Followed): void {
  const { configuration } = site
  if (configuration !== null) {
    engine.setQueueServices(new Map(configuration.queues.map(queue => [queue.name, queue.serviceName])))
    engine.setAccounts(configuration.accounts ?? null)
  }
  engine.setDataCentresOut(site.dataCentresOut)
  for (const entry of site.workers.values()) follow(engine.setWorker(entry))
  for (const workerId of engine.workers.keys()) if (!site.workers.has(workerId)) engine.markRemoved(workerId)
}

function playSequence (seed: number): number {
  const random = createRandom(seed)
  const choose = <Value>(values: readonly Value[]): Value => values[Math.floor(random() * values.length)]
  const site = new TestSite()
  const expected = new Followed()
  const actual = new Followed()
  const both = [expected, actual]
  const updater = SiteUpdater.create({ site, engine: actual.engine, follow: actual.follow })
  const workerIds = Array.from({ length: WORKER_COUNT }, (_, index) => `worker-${index}`)
  let now = 1000
  let jobs = 0
  let version = 0
  const changeEntry = (workerId: string): ChangedWorkers => {
    const draining = random() < 0.4
    const previous = site.workers.get(workerId)
    const bornAt = previous?.bornAtMilliseconds ?? 1
    site.workers.set(workerId, createWorkerEntry({
      workerId,
      serviceName: choose(SERVICES),
      dataCentre: choose(DATA_CENTRES),
      address: `${workerId}:${1 + Math.floor(random() * 2)}`,
      state: draining ? 'draining' : 'ready',
      remainingMilliseconds: draining ? Math.floor(random() * 3000) : null,
      bornAtMilliseconds: bornAt + (random() < 0.2 ? 1 : 0)
    }))
    return [workerId]
  }
  const changeSite = (): ChangedWorkers => {
    const kind = random()
    const workerId = choose(workerIds)
    if (kind < 0.3) return []
    if (kind < 0.7) return changeEntry(workerId)
    if (kind < 0.8) return site.workers.delete(workerId) ? [workerId] : []
    if (kind < 0.85) {
      for (const other of workerIds) if (random() < 0.3) changeEntry(other)
      return 'all'
    }
    if (kind < 0.92) site.configure(++version, choose(SERVICES))
    else site.dataCentresOut = new Set(random() < 0.5 ? [] : [choose(DATA_CENTRES)])
    return []
  }
  const changeEngine = (): void => {
    const kind = random()
    const workerId = choose(workerIds)
    if (kind < 0.3) {
      const bornAt = Math.max(1, (site.workers.get(workerId)?.bornAtMilliseconds ?? 1) - (random() < 0.2 ? 1 : 0))
      const lists = random() < 0.9
      for (const side of both) side.report(workerId, bornAt, lists, now)
      updater.review(workerId)
    } else if (kind < 0.55) {
      for (const side of both) side.plan(now)
    } else if (kind < 0.75) {
      const outcome: OrderOutcome = random() < 0.8
        ? { kind: 'accepted', workerMilliseconds: null }
        : { kind: 'unknown', reason: 'timeout' }
      for (const side of both) side.completeStart(outcome, now)
    } else if (kind < 0.85) {
      for (const { engine } of both) {
        const worker = engine.workers.get(workerId)
        if (worker !== undefined) engine.markUnreachable(worker, now)
      }
    } else {
      const step = {
        longRunning: random() < 0.5, checkpointing: random() < 0.5, taskCount: 2, estimateMilliseconds: 3000
      }
      const accountName = jobs % 2 === 0 ? 'coop' : undefined
      const submission = createSubmission([step], {
        jobId: `job-${++jobs}`, serviceName: choose(SERVICES), ...accountName !== undefined && { accountName }
      })
      for (const { engine } of both) engine.jobs.add({ submission, progress: [], recovered: false }, now)
    }
  }
  for (const workerId of workerIds.slice(0, WORKER_COUNT / 2)) changeEntry(workerId)
  const update = (changed: ChangedWorkers, event: number): void => {
    applyWholeSite(site, expected)
    updater.update(changed)
    assert.deepEqual(actual.getState(), expected.getState(), `seed ${seed}, event ${event}`)
  }
  update('all', 0)
  for (let event = 1; event <= EVENTS; event++) {
    now += Math.floor(random() * 100)
    changeEngine()
    // The heartbeat of another worker arrives before the next change of the site.
    update([], event)
    update(changeSite(), event)
  }
  return expected.orders.filter(order => order.startsWith('stop')).length
}

test('applying what has changed has the effects of applying the whole site', () => {
  let stops = 0
  for (let sequence = 0; sequence < SEQUENCES; sequence++) stops += playSequence(getTestSeed() + sequence)
  assert.ok(stops > SEQUENCES, `${stops} stops`)
})

/** Counts how often the parts of a site and of an engine are used. */
function createCountedUpdater (workerCount: number) {
  const site = new TestSite()
  const counts = { entries: 0, queues: 0, calls: 0 }
  for (let index = 0; index < workerCount; index++) {
    site.workers.set(`worker-${index}`, createWorkerEntry({ workerId: `worker-${index}` }))
  }
  for (const method of ['get', 'has'] as const) {
    const original = site.workers[method].bind(site.workers)
    Object.assign(site.workers, {
      [method]: (key: string) => {
        counts.entries++
        return original(key)
      }
    })
  }
  for (const method of ['keys', 'values', 'entries', 'forEach', Symbol.iterator] as const) {
    const original = site.workers[method].bind(site.workers) as (...parameters: unknown[]) => unknown
    Object.assign(site.workers, {
      [method]: (...parameters: unknown[]) => {
        counts.entries += workerCount
        return original(...parameters)
      }
    })
  }
  const queue = { name: 'queue', serviceName: 'desk' } as QueueConfiguration
  site.configuration = {
    version: 1,
    get queues () {
      counts.queues++
      return [queue]
    },
    maximumBodyBytes: 1000
  }
  const engine = DispatchEngine.create({ epoch: 1 })
  for (const method of ['setQueueServices', 'setDataCentresOut', 'setWorker', 'markRemoved', 'markDirty'] as const) {
    const original = engine[method].bind(engine) as (parameter: unknown) => unknown
    Object.assign(engine, {
      [method]: (parameter: unknown) => {
        counts.calls++
        return original(parameter)
      }
    })
  }
  return { site, engine, counts, updater: SiteUpdater.create({ site, engine, follow: () => {} }) }
}

test('an update that changes nothing uses neither queues nor entries, and one of a worker only its entry', () => {
  const { site, counts, updater } = createCountedUpdater(350)
  assert.equal(updater.update('all'), true)
  assert.deepEqual({ queues: counts.queues, calls: counts.calls }, { queues: 1, calls: 352 })
  Object.assign(counts, { entries: 0, queues: 0, calls: 0 })
  for (let index = 0; index < 1000; index++) assert.equal(updater.update([]), false)
  assert.deepEqual(counts, { entries: 0, queues: 0, calls: 0 })
  site.workers.set('worker-3', createWorkerEntry({ workerId: 'worker-3', state: 'draining' }))
  assert.equal(updater.update(['worker-3']), true)
  assert.equal(counts.calls, 1)
  assert.ok(counts.entries < 10, `${counts.entries} uses of entries`)
})

test('a heartbeat that changes no field of the entry names no changed worker', async () => {
  const clock = VirtualClock.create(1000)
  const tables = EmulatedTables.create({ clock })
  const announced: ChangedWorkers[] = []
  const watch = SiteWatch.create({
    platform: {
      feed: tables.createClient(createRandom(1)),
      operatorTable: 'op',
      workerTable: 'servers',
      decodeOperatorRow: key => ({ kind: 'data-centre-out', dataCentre: key }),
      decodeWorker: (workerId, value) => createWorkerEntry({ workerId, state: (value as { state: 'ready' }).state })
    },
    objects: MemoryObjects.create({ clock }).createClient(() => false),
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    largeTableObserver: { copyPublished: () => {}, copyUsed: () => {}, wholeRead: () => {} },
    resourceDelayMilliseconds: 0,
    isPublisher: () => false,
    random: createRandom(1),
    onChange: changed => announced.push(changed)
  })
  const put = async (table: string, key: string, value: JsonValue) => {
    tables.apply({ operations: [{ kind: 'put', table, key, value, condition: { kind: 'any' } }] })
    await clock.advance(200)
    return announced.splice(0)
  }
  const remove = async (table: string, key: string) => {
    tables.apply({ operations: [{ kind: 'delete', table, key, condition: { kind: 'any' } }] })
    await clock.advance(200)
    return announced.splice(0)
  }
  await put('servers', 'worker-0', { state: 'ready', number: 1 })
  watch.start()
  watch.startFollowingWorkers()
  await clock.advance(200)
  assert.deepEqual(announced.splice(0), [[], 'all'])
  assert.deepEqual(await put('servers', 'worker-0', { state: 'ready', number: 2 }), [[]])
  assert.deepEqual(await put('servers', 'worker-0', { state: 'draining', number: 3 }), [['worker-0']])
  assert.deepEqual(await put('servers', 'worker-1', { state: 'ready', number: 1 }), [['worker-1']])
  assert.deepEqual(await remove('servers', 'worker-0'), [['worker-0']])
  assert.deepEqual(await put('servers', 'worker-0', { state: 'draining', number: 4 }), [['worker-0']])
  const dataCentresOut = watch.getDataCentresOut()
  assert.equal(watch.getDataCentresOut(), dataCentresOut)
  assert.deepEqual(await put('op', 'south-a', {}), [[]])
  assert.deepEqual([...watch.getDataCentresOut()], ['south-a'])
  const changed = watch.getDataCentresOut()
  await put('op', 'south-a', {})
  assert.equal(watch.getDataCentresOut(), changed)
  watch.stop()
})
