import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import { createWorkerEntry } from '../../stand-ins/platform/createWorkerEntry.js'
import { createOccurrence, createRun, type JobRecord, type StepSpecification, type TaskRecord } from '../jobs/index.js'
import { getTestSeed } from '../shared/testSeed.js'
import { chooseWorker, type ChoiceConditions } from './chooseWorker.js'
import { ColocationAdvisor } from './ColocationAdvisor.js'
import { DispatchEngine } from './DispatchEngine.js'
import { WorkerCosts } from './WorkerCosts.js'
import { addRun, removeRun, type WorkerRecord } from './WorkerRecord.js'

const BEST_EFFORT_IMAGES = ['heavy', 'light', 'unseen']
const SERVING_IMAGES = ['desk', 'watch']
const LARGE_SITE_WORKERS = 300
const WIDE_STEP_TASKS = 39

function createAdvisor (): ColocationAdvisor {
  const advisor = ColocationAdvisor.create()
  advisor.import({
    desk: { headroom: [2, 0.1], effects: { heavy: [-8, 0.1], light: [0, 0.1] } },
    watch: { headroom: [3, 0.1], effects: { heavy: [0, 0.1], light: [-5, 0.1] } }
  })
  return advisor
}

function createConditions (advisor: ColocationAdvisor, costs: WorkerCosts): ChoiceConditions {
  return { serviceName: 'desk', dataCentresOut: new Set(), advisor, costs, now: 0 }
}

function createWorkers (count: number): WorkerRecord[] {
  const engine = DispatchEngine.create({ epoch: 1 })
  return Array.from({ length: count }, (_, index) => {
    const worker = engine.setWorker(createWorkerEntry({ workerId: `worker-${index}`, serviceName: 'desk' }))
    return Object.assign(worker, { registered: true, syncState: 'synchronized' })
  })
}

function createTasks (jobId: string, step: Partial<StepSpecification>): TaskRecord[] {
  const submission = { ...createSubmission([step]), jobId }
  return createOccurrence({ submission, recovered: false } as JobRecord, 0, 1, 0).steps[0].tasks.createAll()
}

function createTask (kind: 'best-effort' | 'serving' | 'reserved', number: number): TaskRecord {
  const processorsMilli = 500 + number % 5 * 400
  const step = kind === 'best-effort'
    ? { processorsMilli, fills: true, image: BEST_EFFORT_IMAGES[number % BEST_EFFORT_IMAGES.length] }
    : { processorsMilli, targetMilliseconds: kind === 'serving' ? 50 : 0, image: SERVING_IMAGES[number % 2] }
  return createTasks(`job-${number % 7}`, { taskCount: 1, ...step })[0]
}

test('kept costs lead to the same choices as costs that are computed for each task', () => {
  const step = fastCheck.record({
    kind: fastCheck.constantFrom('best-effort' as const, 'serving' as const, 'reserved' as const),
    number: fastCheck.nat(30),
    change: fastCheck.constantFrom('start' as const, 'end' as const, 'report' as const),
    worker: fastCheck.nat(5),
    figure: fastCheck.nat(60)
  })
  fastCheck.assert(fastCheck.property(fastCheck.array(step, { maxLength: 80 }), steps => {
    const advisor = createAdvisor()
    const workers = createWorkers(6)
    const costs = WorkerCosts.create()
    const tasks = new Map<string, TaskRecord>()
    for (const { kind, number, change, worker, figure } of steps) {
      const key = `${kind}${number}`
      const task = tasks.get(key) ?? createTask(kind, number)
      tasks.set(key, task)
      const chosen = chooseWorker(task, workers, createConditions(advisor, costs))
      assert.equal(chosen, chooseWorker(task, workers, createConditions(advisor, WorkerCosts.create())))
      if (change === 'start' && chosen !== null) {
        addRun(chosen, { ...createRun(task, chosen.entry.workerId, task.nextAttempt++, 0), state: 'running' })
      }
      const changed = workers[worker]
      const [run] = changed.runs.values()
      if (change === 'end' && run !== undefined) removeRun(changed, run, 0)
      if (change === 'report' && run !== undefined) {
        Object.assign(run, { usageFigure: figure, percent: 100 })
        changed.changeCount++
      }
    }
  }), { seed: getTestSeed(), numRuns: 200 })
})

test('computes the cost of each worker once for a wide step, and again only where a task has started', () => {
  const workers = createWorkers(LARGE_SITE_WORKERS)
  const costs = WorkerCosts.create()
  const conditions = createConditions(createAdvisor(), costs)
  for (const task of createTasks('wide', { taskCount: WIDE_STEP_TASKS, fills: true, image: 'light' })) {
    const chosen = chooseWorker(task, workers, conditions)!
    addRun(chosen, createRun(task, chosen.entry.workerId, 1, 0))
  }
  assert.ok(costs.computationCount < LARGE_SITE_WORKERS + WIDE_STEP_TASKS, `${costs.computationCount} computations`)
})
