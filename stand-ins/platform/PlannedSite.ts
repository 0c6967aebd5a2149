import {
  DispatchEngine, type DispatchObserver, type ListedCompletion, type OrderOutcome, type WorkerRecord
} from '../../src/dispatch/index.js'
import type { JobSubmission, RunRecord, StepSpecification } from '../../src/jobs/index.js'
import { createRandom } from '../shared/createRandom.js'
import { createSubmission } from './createSubmission.js'
import { createWorkerEntry } from './createWorkerEntry.js'

/** Options of a site. */
export interface PlannedSiteOptions {
  seed: number
  workerCount: number
  capacity: { processorsMilli: number, memoryMegabytes: number, accelerators: number }
  /** Returns the labels of a worker. */
  getLabels? (index: number): string[]
  /** The number of starts of each plan; no limit by default. */
  startLimit?: number
  /** Returns the actual duration of a run, or null for one near its estimate, as is the default. */
  getDurationMilliseconds? (run: RunRecord): number | null
  /** Returns the outcome of a start; workers accept all by default. */
  getStartOutcome? (run: RunRecord): OrderOutcome
  observer?: DispatchObserver
  /** See `DispatchEngineOptions`; false by default. */
  protectsUrgentWork?: boolean
}

/** The interval between two plans, and between two reports of a worker. */
const STEP_MILLISECONDS = 20
/** The actual duration of a run varies around its estimate by this share in either direction. */
const DURATION_SPREAD = 0.3

/** A dispatch engine with workers that execute orders at once, without a network. */
export class PlannedSite {
  readonly engine: DispatchEngine
  /** The names of the tasks whose runs were stopped. */
  readonly stoppedNames: string[] = []
  /** The number of starts by job. */
  readonly startCounts = new Map<string, number>()
  now = 0
  private readonly random: () => number
  private readonly endTimes = new Map<RunRecord, number>()
  private readonly endCounts = new Map<WorkerRecord, number>()
  private readonly absentWorkers = new Set<WorkerRecord>()
  private jobCount = 0

  private constructor (private readonly options: PlannedSiteOptions) {
    this.random = createRandom(options.seed)
    this.engine = DispatchEngine.create({
      epoch: 1, observer: options.observer, protectsUrgentWork: options.protectsUrgentWork
    })
    for (let index = 0; index < options.workerCount; index++) {
      const labels = options.getLabels?.(index) ?? ['a']
      const entry = createWorkerEntry({ workerId: `worker-${index}`, labels, capacity: { ...options.capacity } })
      this.engine.setWorker(entry).registered = true
    }
  }

  /**
   * Creates a site without jobs.
   * @param options The workers and the seed.
   * @returns The site.
   */
  static create (options: PlannedSiteOptions): PlannedSite {
    return new PlannedSite(options)
  }

  /** The workers, in the order in which they were created. */
  get workers (): WorkerRecord[] {
    return [...this.engine.workers.values()]
  }

  /**
   * Submits a job.
   * @param prefix The first part of its name.
   * @param steps The steps, each with the fields that differ from `createStep`.
   * @param submission The fields that differ from the default submission.
   * @returns The identifier of the job.
   */
  submit (prefix: string, steps: Array<Partial<StepSpecification>>, submission: Partial<JobSubmission> = {}): string {
    const jobId = `${prefix}-${this.jobCount++}`
    const job = createSubmission(steps, { jobId, acceptedAtMilliseconds: this.now, ...submission })
    this.engine.jobs.add({ submission: job, progress: [], recovered: false }, this.now)
    return jobId
  }

  /** Ends the process of a worker, as known to the owner at once. */
  removeWorker (worker: WorkerRecord): void {
    this.absentWorkers.add(worker)
    this.engine.markUnreachable(worker, this.now)
    this.engine.confirmWorkerExited(worker, this.now)
  }

  /**
   * Lets time pass.
   * @param durationMilliseconds The time.
   * @param onStep Called before each plan.
   */
  advance (durationMilliseconds: number, onStep: () => void = () => {}): void {
    const end = this.now + durationMilliseconds
    while (this.now < end) {
      this.now += STEP_MILLISECONDS
      onStep()
      this.step()
    }
  }

  /** Returns the tasks of the jobs with a prefix that have run and do not run now, with the time since then. */
  getTasksAway (prefix: string): Array<{ name: string, milliseconds: number }> {
    const jobs = [...this.engine.jobs.getJobs()].filter(({ submission }) => submission.jobId.startsWith(prefix))
    return jobs.flatMap(job => [...job.occurrences.values()]).flatMap(({ steps }) => steps)
      .flatMap(({ tasks }) => [...tasks.getAllCreated()])
      .filter(task => task.hasRun && task.runs.length === 0)
      .map(task => ({ name: task.name, milliseconds: this.now - task.waitingSince }))
  }

  private step (): void {
    const { engine, now } = this
    for (const worker of engine.workers.values()) if (!this.absentWorkers.has(worker)) this.report(worker)
    engine.markDirty()
    engine.plan(now, now, true, this.options.startLimit)
    for (const order of engine.takeOrders()) {
      if (order.kind === 'start') this.start(order.worker, order.run)
      if (order.kind !== 'stop' || order.run === null) continue
      this.stoppedNames.push(order.taskName)
      this.endTimes.set(order.run, now)
      engine.applyStopOutcome(order.run, { kind: 'accepted', workerMilliseconds: now }, now)
    }
    for (const segment of engine.jobs.takeChanged(1000)) {
      const { finalState } = segment.job
      if (finalState !== null) engine.jobs.confirmDurable([{ segment, state: finalState }], now)
    }
  }

  private start (worker: WorkerRecord, run: RunRecord): void {
    const { specification, occurrence: { job } } = run.task.step
    const [prefix] = job.submission.jobId.split('-', 1)
    this.startCounts.set(prefix, (this.startCounts.get(prefix) ?? 0) + 1)
    const duration = this.options.getDurationMilliseconds?.(run) ??
      specification.estimateMilliseconds * (1 + DURATION_SPREAD * (2 * this.random() - 1))
    this.endTimes.set(run, specification.longRunning ? Infinity : this.now + duration)
    const outcome = this.options.getStartOutcome?.(run) ?? { kind: 'accepted', workerMilliseconds: this.now }
    this.engine.applyStartOutcome(worker, run, outcome, this.now)
  }

  private report (worker: WorkerRecord): void {
    const { now } = this
    const runs = [...worker.runs.values()]
    const isOver = (run: RunRecord): boolean => this.endTimes.get(run)! <= now
    let number = this.endCounts.get(worker) ?? 0
    const ended = runs.filter(isOver).map((run): ListedCompletion => ({
      number: ++number,
      taskName: run.task.name,
      attempt: run.attempt,
      end: run.state === 'stopping' ? 'stopped' : 'done',
      checkpoint: ''
    }))
    this.endCounts.set(worker, number)
    const running = runs.filter(run => !isOver(run)).map(run => {
      const { estimateMilliseconds, processorsMilli } = run.task.step.specification
      const duration = this.options.getDurationMilliseconds?.(run) ?? estimateMilliseconds
      const percent = Math.min(99, Math.floor((now - run.startedAt) * 100 / duration))
      return { taskName: run.task.name, attempt: run.attempt, checkpoint: '', percent, usageFigure: processorsMilli }
    })
    this.engine.applyReport(worker, { workerMilliseconds: now, bornAtMilliseconds: 1, running, ended }, now - 1, now)
  }
}
