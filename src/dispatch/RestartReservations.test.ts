import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { PlannedSite, type PlannedSiteOptions } from '../../stand-ins/platform/PlannedSite.js'
import { silentDispatchObserver } from './DispatchObserver.js'
import type { OrderOutcome } from './WorkerProtocol.js'
import type { WorkerRecord } from './WorkerRecord.js'

const CAPACITY = { processorsMilli: 4000, memoryMegabytes: 16_000, accelerators: 0 }
const WATCH = { processorsMilli: 3000, memoryMegabytes: 1000, longRunning: true }
const SHORT = { processorsMilli: 1000, memoryMegabytes: 500, estimateMilliseconds: 1000 }

function getReserved (site: PlannedSite): WorkerRecord[] {
  return site.workers.filter(({ reservingTask }) => reservingTask !== null)
}

/** Creates a site whose remaining workers are full of short tasks while a restart waits. */
function createFullSite (
  estimateMilliseconds = SHORT.estimateMilliseconds, options: Partial<PlannedSiteOptions> = {}
): PlannedSite {
  const site = PlannedSite.create({ seed: 1, workerCount: 5, capacity: CAPACITY, ...options })
  site.submit('watch', [WATCH])
  site.advance(100)
  const watching = site.workers.find(({ runs }) => runs.size === 1)!
  site.submit('short', [{ ...SHORT, estimateMilliseconds, taskCount: 1000 }])
  site.advance(100)
  site.removeWorker(watching)
  return site
}

test('a restart that fits nowhere reserves one worker, and other work starts on the other ones', () => {
  const site = createFullSite()
  site.advance(20)
  const [reserved, ...others] = getReserved(site)
  assert.equal(others.length, 0)
  const runs = new Set(reserved.runs.values())
  site.advance(2000, () => {
    if (reserved.reservingTask === null) return
    for (const run of reserved.runs.values()) assert.ok(runs.has(run), `${run.task.name} was started`)
  })
  assert.equal([...reserved.runs.values()].filter(run => run.task.step.specification.longRunning).length, 1)
  assert.deepEqual(getReserved(site), [])
})

test('a reservation moves to another worker when its worker drains, does not respond, or gets no room in time', () => {
  const changes: Array<(site: PlannedSite, worker: WorkerRecord) => void> = [
    (site, worker) => { site.engine.setWorker({ ...worker.entry, state: 'draining' }) },
    (site, worker) => { site.removeWorker(worker) },
    site => { site.advance(3000) }
  ]
  for (const change of changes) {
    const site = createFullSite(10_000)
    site.advance(20)
    const [reserved] = getReserved(site)
    change(site, reserved)
    site.advance(100)
    const [other] = getReserved(site)
    assert.notEqual(other.entry.workerId, reserved.entry.workerId)
    assert.deepEqual(reserved.reservedForRestart, { processorsMilli: 0, memoryMegabytes: 0, accelerators: 0 })
  }
})

// Runs that exceeded their estimates counted as about to end, so that the reservation alternated between their workers.
test('a restart does not wait for workers whose runs exceed their estimates by far', () => {
  const site = PlannedSite.create({
    seed: 1,
    workerCount: 5,
    capacity: CAPACITY,
    getDurationMilliseconds: ({ task }) => task.name.startsWith('wrong') ? 60_000 : null
  })
  site.submit('watch', [WATCH])
  site.advance(100)
  const watching = site.workers.find(({ runs }) => runs.size === 1)!
  site.submit('wrong', [{ ...SHORT, processorsMilli: 4000, estimateMilliseconds: 100, taskCount: 2 }])
  site.advance(100)
  site.submit('short', [{ ...SHORT, taskCount: 1000 }])
  site.advance(3000)
  site.removeWorker(watching)
  site.advance(6000)
  assert.deepEqual(site.getTasksAway('watch'), [])
})

test('a reservation ends when the task starts on another worker or its job is cancelled', () => {
  const placed = createFullSite(10_000)
  placed.advance(20)
  placed.engine.setWorker(createWorkerEntry({ workerId: 'new', capacity: { ...CAPACITY } })).registered = true
  placed.advance(20)
  assert.deepEqual(getReserved(placed), [])
  assert.deepEqual(placed.getTasksAway('watch'), [])
  const cancelled = createFullSite(10_000)
  cancelled.advance(20)
  assert.equal(getReserved(cancelled).length, 1)
  cancelled.engine.cancelJob('watch-0')
  cancelled.advance(20)
  assert.deepEqual(getReserved(cancelled), [])
})

test('a restart whose start is withdrawn or refused keeps its place before other work', () => {
  const outcomes: OrderOutcome[] = [
    { kind: 'accepted', workerMilliseconds: null },
    { kind: 'not-sent', reason: 'refused' },
    { kind: 'rejected', reason: 'no free capacity' },
    { kind: 'unhealthy' }
  ]
  const site = createFullSite(SHORT.estimateMilliseconds, {
    getStartOutcome: ({ task }) => (task.step.specification.longRunning ? outcomes.shift() : undefined) ??
      { kind: 'accepted', workerMilliseconds: null }
  })
  site.advance(6000)
  assert.deepEqual(outcomes, [])
  assert.deepEqual(site.getTasksAway('watch'), [])
})

test('at most a quarter of the workers are reserved while hundreds of restarts wait, and urgent work starts', () => {
  const site = PlannedSite.create({ seed: 1, workerCount: 200, capacity: CAPACITY, startLimit: 32 })
  site.submit('watch', [{ ...WATCH, taskCount: 100 }])
  site.advance(1000)
  const watching = site.workers.filter(({ runs }) => runs.size > 0)
  site.submit('short', [{ ...SHORT, taskCount: 100_000 }])
  site.advance(3000)
  for (const worker of watching) site.removeWorker(worker)
  const shortBefore = site.startCounts.get('short')!
  const longestReserved = { count: 0 }
  site.advance(1000, () => {
    const reserved = getReserved(site)
    longestReserved.count = Math.max(longestReserved.count, reserved.length)
    for (const { reservingTask } of reserved) assert.deepEqual(reservingTask!.runs, [])
  })
  const shortCount = site.startCounts.get('short')! - shortBefore
  assert.ok(longestReserved.count > 1 && longestReserved.count <= 25, `${longestReserved.count} workers are reserved`)
  assert.ok(shortCount >= 100, `${shortCount} short tasks were started in 1 s`)
  site.advance(5000)
  assert.deepEqual(site.getTasksAway('watch'), [])
})

// Reservations were counted by service, so that all of the few workers with a label could be reserved.
test('at most a quarter of the workers with a label are reserved, for restarts with and without the label', () => {
  for (const requiredLabel of ['b', '']) {
    const site = PlannedSite.create({
      seed: 1, workerCount: 24, capacity: CAPACITY, getLabels: index => index < 8 ? ['b'] : ['a']
    })
    // The other workers have no room for the restarts.
    site.submit('fixed', [{ ...WATCH, taskCount: 16, requiredLabel: 'a' }])
    site.advance(1000)
    site.submit('watch', [{ ...WATCH, processorsMilli: 2000, taskCount: 8, requiredLabel }])
    site.advance(1000)
    site.submit('short', [{ ...SHORT, taskCount: 100_000 }])
    site.advance(3000)
    const getLabelled = () => site.workers.filter(({ entry }) => entry.labels.includes('b'))
    for (const worker of getLabelled().slice(0, 4)) site.removeWorker(worker)
    let longestReserved = 0
    site.advance(6000, () => {
      const reservedCount = getLabelled().filter(({ reservingTask }) => reservingTask !== null).length
      longestReserved = Math.max(longestReserved, reservedCount)
    })
    assert.equal(longestReserved, 1)
    assert.deepEqual(site.getTasksAway('watch'), [])
  }
})

test('restarts that are larger than any worker reserve nothing and hold up no others', () => {
  const site = PlannedSite.create({ seed: 1, workerCount: 5, capacity: CAPACITY })
  const large = site.engine.setWorker(createWorkerEntry({
    workerId: 'large', capacity: { ...CAPACITY, processorsMilli: 12_000 }
  }))
  large.registered = true
  site.submit('huge', [{ ...WATCH, processorsMilli: 5000, taskCount: 2 }])
  site.advance(100)
  site.submit('watch', [{ ...WATCH, taskCount: 1 }])
  site.advance(100)
  site.submit('short', [{ ...SHORT, taskCount: 1000 }])
  site.advance(100)
  site.removeWorker(large)
  for (const worker of site.workers) {
    if ([...worker.runs.values()].some(run => run.task.step.specification.longRunning)) site.removeWorker(worker)
  }
  site.advance(5000)
  assert.deepEqual(site.getTasksAway('watch'), [])
  assert.equal(site.getTasksAway('huge').length, 2)
  assert.deepEqual(getReserved(site), [])
})

// Restarts of one service that could get no room kept those of the same size in other services from a reservation.
test('a restart for which its service has no worker holds up no restart of another service', () => {
  const site = PlannedSite.create({ seed: 1, workerCount: 5, capacity: CAPACITY })
  for (const workerId of ['archive-0', 'archive-1']) {
    const entry = createWorkerEntry({ workerId, serviceName: 'archive', capacity: { ...CAPACITY } })
    site.engine.setWorker(entry).registered = true
  }
  site.submit('archived', [{ ...WATCH, taskCount: 2 }], { serviceName: 'archive' })
  site.submit('watch', [WATCH])
  site.advance(100)
  site.submit('short', [{ ...SHORT, taskCount: 1000 }])
  site.advance(100)
  const getWorkerOf = (prefix: string) => site.workers.find(({ runs }) =>
    [...runs.values()].some(({ task }) => task.name.startsWith(prefix)))!
  site.removeWorker(getWorkerOf('archived'))
  site.advance(100)
  site.removeWorker(getWorkerOf('watch'))
  site.advance(6000)
  assert.equal(site.getTasksAway('archived').length, 1)
  assert.deepEqual(site.getTasksAway('watch'), [])
})

test('a restart uses a worker that responds unsteadily when the steady ones have no room', () => {
  const site = createFullSite(10_000)
  const unsteady = site.engine.setWorker(createWorkerEntry({ workerId: 'unsteady', capacity: { ...CAPACITY } }))
  unsteady.registered = true
  unsteady.failureTimes = [site.now - 1000, site.now]
  site.advance(20)
  assert.equal([...unsteady.runs.values()][0].task.name, 'watch-0.0.0.0')
})

test('reports each run that it stops for a restart, none before the restart has waited 2 s', () => {
  const reported: Array<{ name: string, waiting: string, waitMilliseconds: number }> = []
  const site = PlannedSite.create({
    seed: 1,
    workerCount: 5,
    capacity: CAPACITY,
    observer: {
      ...silentDispatchObserver,
      onRunStoppedForRestart: (run, waiting, now) => {
        reported.push({ name: run.task.name, waiting: waiting.name, waitMilliseconds: now - waiting.waitingSince })
      }
    }
  })
  site.submit('watch', [{ ...WATCH, memoryMegabytes: 10_000 }])
  site.advance(100)
  const watching = site.workers.find(({ runs }) => runs.size === 1)!
  const memory = { memoryMegabytes: 4000, processorsMilli: 500 }
  site.submit('best', [{ ...memory, fills: true, estimateMilliseconds: 60_000, taskCount: 1000 }])
  site.advance(100)
  site.removeWorker(watching)
  site.advance(4000)
  assert.deepEqual(site.getTasksAway('watch'), [])
  assert.deepEqual(reported.map(({ name }) => name), site.stoppedNames)
  assert.equal(reported.length, 3)
  for (const { waiting, waitMilliseconds } of reported) {
    assert.equal(waiting, 'watch-0.0.0.0')
    assert.ok(waitMilliseconds >= 2000, `stopped after ${waitMilliseconds} ms`)
  }
})

// The selection of the runs to stop did not consider when they end by themselves.
test('a restart whose room becomes free soon but for one run stops only that run', () => {
  const site = PlannedSite.create({
    seed: 1,
    workerCount: 2,
    capacity: CAPACITY,
    getDurationMilliseconds: ({ task }) => task.step.specification.estimateMilliseconds
  })
  site.submit('watch', [{ ...WATCH, memoryMegabytes: 12_000 }])
  site.advance(100)
  const watching = site.workers.find(({ runs }) => runs.size === 1)!
  const bestEffort = { memoryMegabytes: 8000, processorsMilli: 500, fills: true }
  site.submit('ending', [{ ...bestEffort, checkpointing: true, estimateMilliseconds: 2500 }])
  site.submit('lasting', [{ ...bestEffort, estimateMilliseconds: 60_000 }])
  site.advance(100)
  site.removeWorker(watching)
  site.advance(4000)
  assert.deepEqual(site.getTasksAway('watch'), [])
  assert.deepEqual(site.stoppedNames, ['lasting-2.0.0.0'])
})
