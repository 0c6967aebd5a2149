import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createStep } from '../../stand-ins/platform/createStep.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { createOccurrence, type JobRecord, type RunRecord, type StepSpecification } from '../jobs/index.js'
import { getTestSeed } from '../shared/testSeed.js'
import { chooseWorker } from './chooseWorker.js'
import { ColocationAdvisor } from './ColocationAdvisor.js'
import { decidePace, PERSISTENT_VIOLATION_MILLISECONDS } from './decidePace.js'
import { WorkerCosts } from './WorkerCosts.js'
import { addRun, createWorkerRecord, type WorkerRecord } from './WorkerRecord.js'

const TARGET_MILLISECONDS = 18
/** The number of reports about one pair of images that a site of 33 workers sends within a few seconds. */
const REPORT_COUNT = 200
/** By how much the headroom falls if an image uses the whole worker; `heavy` has an effect observed on the platform. */
const TRUE_EFFECTS: Record<string, number> = { heavy: 8, light: 0 }

function createWorker (workerId = 'worker'): WorkerRecord {
  return createWorkerRecord({
    workerId,
    serviceName: 'desk',
    address: 'host:1',
    dataCentre: 'south-a',
    state: 'ready',
    labels: [],
    capacity: { processorsMilli: 16_000, memoryMegabytes: 64_000, accelerators: 0 },
    bornAtMilliseconds: 1,
    remainingMilliseconds: null
  })
}

function createRun (specification: Partial<StepSpecification>): RunRecord {
  const step = createStep({ processorsMilli: 2000, ...specification })
  const job = { submission: { jobId: step.image, specification: { steps: [step] } } } as unknown as JobRecord
  return {
    task: createOccurrence(job, 0, 1, 0).steps[0].tasks.get(0)!,
    attempt: 1,
    workerId: 'worker',
    isAdopted: false,
    state: 'running',
    startedAt: -10_000,
    sentAt: -10_000,
    startDeadline: Infinity,
    openSendCount: 0,
    isUnanswered: false,
    isListed: false,
    exceedsUnusedProcessors: false,
    startUncertain: false,
    isStopUnanswered: false,
    confirmedAt: 0,
    percent: 100,
    progressedAt: 0,
    usageFigure: 2000,
    pacePercent: 100,
    overTargetSince: null,
    slowedSince: null
  }
}

/** Simulates reports of a serving task with changing load beside a best-effort task with changing usage. */
function learnFromReports (advisor: ColocationAdvisor, image: string, random: () => number): void {
  for (let report = 0; report < REPORT_COUNT; report++) {
    const worker = createWorker()
    const serving = createRun({ image: 'desk', targetMilliseconds: TARGET_MILLISECONDS, longRunning: true })
    const filling = createRun({ image, fills: true })
    addRun(worker, serving)
    filling.usageFigure = Math.round(random() * 6000)
    addRun(worker, filling)
    const load = Math.sin(report / 5) * 0.6 + (random() - 0.5) * 0.4
    const headroom = 2.2 + load - TRUE_EFFECTS[image] * filling.usageFigure / 16_000
    serving.usageFigure = Math.round(TARGET_MILLISECONDS / Math.max(0.1, headroom))
    advisor.learn(worker, report * 500)
  }
}

function createTrainedAdvisor (): ColocationAdvisor {
  const random = createRandom(getTestSeed())
  const advisor = ColocationAdvisor.create()
  learnFromReports(advisor, 'light', random)
  learnFromReports(advisor, 'heavy', random)
  return advisor
}

test('distinguishes an interfering image from a compatible one while the serving load changes', () => {
  const advisor = createTrainedAdvisor()
  assert.equal(advisor.getEffect('desk', 'light'), 0)
  const effect = advisor.getEffect('desk', 'heavy')
  assert.ok(effect > 5 && effect < 11, `effect ${effect}`)
})

test('preserves learned effects through export and import', () => {
  const next = ColocationAdvisor.create()
  next.import(createTrainedAdvisor().export())
  assert.equal(next.getEffect('desk', 'light'), 0)
  assert.ok(next.getEffect('desk', 'heavy') > 5)
})

test('slows only interfering runs, and stops all best-effort runs while a tail latency stays above its target', () => {
  const advisor = createTrainedAdvisor()
  const worker = createWorker()
  const serving = createRun({ image: 'desk', targetMilliseconds: TARGET_MILLISECONDS, longRunning: true })
  const heavy = createRun({ image: 'heavy', fills: true })
  const light = createRun({ image: 'light', fills: true })
  for (const run of [serving, heavy, light]) addRun(worker, run)
  serving.usageFigure = TARGET_MILLISECONDS
  const changes = decidePace(worker, advisor, 1000)
  assert.deepEqual(changes.map(change => change.run.task.step.specification.image), ['heavy'])
  assert.ok(changes[0].percent < 100)
  serving.overTargetSince = 2000
  serving.usageFigure = TARGET_MILLISECONDS * 3
  const guarded = decidePace(worker, advisor, 2000 + PERSISTENT_VIOLATION_MILLISECONDS)
  assert.deepEqual(guarded.map(change => change.percent), [0, 0])
})

test('reports no interference pressure for a compatible image despite little headroom', () => {
  const advisor = createTrainedAdvisor()
  const worker = createWorker()
  const serving = createRun({ image: 'desk', targetMilliseconds: TARGET_MILLISECONDS, longRunning: true })
  serving.usageFigure = TARGET_MILLISECONDS
  addRun(worker, serving)
  assert.equal(advisor.getInterferencePressure(worker, createRun({ image: 'light', fills: true }).task), 0)
  assert.ok(advisor.getInterferencePressure(worker, createRun({ image: 'heavy', fills: true }).task) > 1)
})

/** Creates one worker for each served image, and workers without serving tasks. */
function createSite (servedImages: string[], emptyCount: number): WorkerRecord[] {
  const workers: WorkerRecord[] = []
  for (const image of [...servedImages, ...new Array<string>(emptyCount).fill('')]) {
    const worker = createWorker(`worker-${workers.length}`)
    worker.registered = true
    worker.syncState = 'synchronized'
    if (image !== '') addRun(worker, createRun({ image, targetMilliseconds: TARGET_MILLISECONDS, longRunning: true }))
    workers.push(worker)
  }
  return workers
}

test('places a serving task beside its image, then on an empty worker, but keeps a fifth of the workers empty', () => {
  const advisor = ColocationAdvisor.create()
  const conditions = { serviceName: 'desk', dataCentresOut: new Set<string>(), advisor, costs: WorkerCosts.create(), now: 0 }
  const rows: Array<[served: string[], emptyCount: number, chosen: string]> = [
    [['other', 'desk'], 4, 'worker-1'],
    [['other', 'other'], 4, 'worker-2'],
    [['other', 'other', 'other', 'other'], 1, 'worker-0']
  ]
  for (const [served, emptyCount, chosen] of rows) {
    const task = createRun({ image: 'desk', targetMilliseconds: TARGET_MILLISECONDS, longRunning: true }).task
    const worker = chooseWorker(task, createSite(served, emptyCount), conditions)
    assert.equal(worker?.entry.workerId, chosen, served.join())
  }
})

test('places a serving task beside an image with the same sensitivity rather than on an empty worker', () => {
  const advisor = ColocationAdvisor.create()
  advisor.import({
    desk: { headroom: [2, 0.1], effects: { heavy: [-8, 0.1], light: [0, 0.1] } },
    alike: { headroom: [2, 0.1], effects: { heavy: [-7, 0.1], light: [0, 0.1] } },
    different: { headroom: [2, 0.1], effects: { heavy: [0, 0.1], light: [-7, 0.1] } }
  })
  assert.equal(advisor.compareSensitivity('desk', 'unseen'), 'unknown')
  const conditions = { serviceName: 'desk', dataCentresOut: new Set<string>(), advisor, costs: WorkerCosts.create(), now: 0 }
  const task = createRun({ image: 'desk', targetMilliseconds: TARGET_MILLISECONDS, longRunning: true }).task
  const workers = createSite(['different', 'alike'], 4)
  assert.equal(chooseWorker(task, workers, conditions)?.entry.workerId, 'worker-1')
})
