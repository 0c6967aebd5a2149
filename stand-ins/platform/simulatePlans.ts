import { DispatchEngine, type ListedRun, type WorkerRecord, type WorkerReport } from '../../src/dispatch/index.js'
import type { RunRecord, StepSpecification } from '../../src/jobs/index.js'
import { createRandom } from '../shared/createRandom.js'
import { createStep } from './createStep.js'

/** Options of a simulated sequence of plans. */
export interface PlanSimulationOptions {
  seed: number
  workerCount: number
  planCount: number
}

const PLAN_INTERVAL_MILLISECONDS = 100
const END_PROBABILITY = 0.12
const FAILURE_PROBABILITY = 0.2
const SERVICES = ['desk', 'desk', 'desk', 'archive']
const STATES = ['ready', 'ready', 'ready', 'ready', 'draining'] as const

/**
 * Simulates a random site with a dispatch engine: jobs of all kinds arrive, more than the free capacity allows, and
 * runs complete, fail and report random progress and usage.
 * @param options The seed and the sizes.
 * @returns One line for each plan, which lists the orders in sequence.
 */
export function simulatePlans (options: PlanSimulationOptions): string[] {
  const random = createRandom(options.seed)
  const pick = <Value>(values: readonly Value[]): Value => values[Math.floor(random() * values.length)]
  const engine = DispatchEngine.create({ epoch: 1 })
  engine.setQueueServices(new Map([['desk-queue', 'desk'], ['archive-queue', 'archive']]))
  for (let index = 0; index < options.workerCount; index++) addWorker(engine, index, pick)
  const plans: string[] = []
  let jobCount = 0
  for (let number = 1; number <= options.planCount; number++) {
    const now = number * PLAN_INTERVAL_MILLISECONDS
    for (let added = Math.floor(random() * 4); added > 0; added--) addJob(engine, `j${jobCount++}`, now, random, pick)
    for (const worker of engine.workers.values()) {
      if (random() < 0.5) engine.applyReport(worker, createReport(worker, now, random), now - 1, now)
    }
    engine.plan(now, now, true)
    plans.push(engine.takeOrders().map(order => {
      const { worker } = order
      if (order.kind === 'pace') return `pace ${order.run.task.name} ${order.percent}`
      if (order.kind === 'stop') {
        if (order.run !== null) engine.applyStopOutcome(order.run, { kind: 'accepted', workerMilliseconds: null }, now)
        return `stop ${order.taskName}#${order.attempt} on ${worker.entry.workerId}`
      }
      const outcome = random() < 0.95
        ? { kind: 'accepted' as const, workerMilliseconds: now }
        : { kind: 'unhealthy' as const }
      engine.applyStartOutcome(worker, order.run, outcome, now)
      return `start ${order.run.task.name}#${order.run.attempt} on ${worker.entry.workerId}`
    }).join(', '))
    const changed = engine.jobs.takeChanged(1000)
    engine.jobs.confirmDurable(changed.map(segment => ({ segment, state: segment.job.finalState })), now)
  }
  return plans
}

type Pick = <Value>(values: readonly Value[]) => Value

function addWorker (engine: DispatchEngine, index: number, pick: Pick): void {
  const worker = engine.setWorker({
    workerId: `w${index}`,
    serviceName: pick(SERVICES),
    address: 'host:1',
    dataCentre: pick(['south-a', 'south-b']),
    state: pick(STATES),
    labels: [pick(['a', 'b']), `rack-${index % 3}`],
    capacity: {
      processorsMilli: pick([16_000, 16_000, 24_000]), memoryMegabytes: 64_000, accelerators: pick([0, 0, 2])
    },
    bornAtMilliseconds: 1,
    remainingMilliseconds: null
  })
  worker.registered = true
  engine.applyReport(worker, { workerMilliseconds: 0, bornAtMilliseconds: 1, running: [], ended: [] }, 0, 1)
}

function addJob (engine: DispatchEngine, jobId: string, now: number, random: () => number, pick: Pick): void {
  const stepCount = 1 + Math.floor(random() * 3)
  const queueName = pick(['desk-queue', 'desk-queue', 'desk-queue', 'archive-queue'])
  const kind = pick(['serving', 'filling', 'filling', 'plain', 'plain', 'gang'])
  const steps: StepSpecification[] = Array.from({ length: kind === 'serving' ? 1 : stepCount }, (_, index) => createStep({
    taskCount: 1 + Math.floor(random() * 8),
    processorsMilli: 500 + Math.floor(random() * 2500),
    memoryMegabytes: 500 + Math.floor(random() * 6000),
    accelerators: random() < 0.1 ? 1 : 0,
    estimateMilliseconds: 400 + Math.floor(random() * 2000),
    afterSteps: index > 0 ? [index - 1] : [],
    checkpointing: random() < 0.5,
    requiredLabel: random() < 0.1 ? pick(['a', 'b', 'rack-1']) : '',
    preferredRack: random() < 0.2 ? pick(['rack-0', 'rack-1']) : '',
    maximumPerWorker: random() < 0.15 ? 1 : 0,
    image: `${kind}-${Math.floor(random() * 4)}`,
    longRunning: kind === 'serving',
    targetMilliseconds: kind === 'serving' ? 18 : 0,
    fills: kind === 'filling',
    gang: kind === 'gang' && random() < 0.5,
    rackSensitive: random() < 0.3
  }))
  const isRepeated = random() < 0.1
  engine.jobs.add({
    submission: {
      jobId,
      queueName,
      serviceName: 'desk',
      priority: pick([0, 0, 2]),
      attemptLimit: 4,
      stretch: 2,
      targetLatencyMilliseconds: 400,
      acceptedAtMilliseconds: now,
      specification: {
        taskDescription: '',
        steps,
        startAtMilliseconds: now,
        intervalMilliseconds: isRepeated ? 200 : 0,
        repeatCount: isRepeated ? 3 : 0
      }
    },
    progress: [],
    recovered: false
  }, now)
  engine.markDirty()
}

function createReport (worker: WorkerRecord, now: number, random: () => number): WorkerReport {
  const report: WorkerReport = { workerMilliseconds: now, bornAtMilliseconds: 1, running: [], ended: [] }
  let endCount = worker.appliedCompletion
  for (const run of worker.runs.values()) {
    const hasEnded = run.state === 'stopping' || random() < END_PROBABILITY * (isLongRunning(run) ? 0.1 : 1)
    if (!hasEnded) {
      report.running.push(createListedRun(run, random))
      continue
    }
    const end = run.state === 'stopping'
      ? 'stopped' as const
      : random() < FAILURE_PROBABILITY ? 'failed' as const : 'done' as const
    report.ended.push({
      number: ++endCount, taskName: run.task.name, attempt: run.attempt, end, checkpoint: random() < 0.3 ? 'saved' : ''
    })
  }
  return report
}

function isLongRunning (run: RunRecord): boolean {
  return run.task.step.specification.longRunning
}

function createListedRun (run: RunRecord, random: () => number): ListedRun {
  const { targetMilliseconds, processorsMilli } = run.task.step.specification
  const usageFigure = targetMilliseconds > 0
    ? Math.round(targetMilliseconds * (0.3 + random() * 0.9))
    : Math.round(processorsMilli * random())
  const percent = isLongRunning(run) ? 100 : Math.min(99, run.percent + Math.floor(random() * 10))
  return { taskName: run.task.name, attempt: run.attempt, checkpoint: '', percent, usageFigure }
}
