import type { StepRecord, TaskRecord } from '../jobs/index.js'
import type { ChoiceConditions } from './chooseWorker.js'
import { selectGangPlacement } from './selectGangPlacement.js'
import { StartCandidates } from './StartCandidates.js'
import type { WorkerRecord } from './WorkerRecord.js'

/** Options of a plan. */
export interface StartPlanOptions {
  workers: readonly WorkerRecord[]
  /** How many starts can be sent soon. */
  startLimit: number
  getConditions (serviceName: string): ChoiceConditions
  start (task: TaskRecord, worker: WorkerRecord, attempt: number): void
}

/** The key of a step's size is asked for in each plan while its tasks wait. */
const sizeKeys = new WeakMap<StepRecord, string>()

/**
 * Places the waiting tasks of steps, the most urgent of which are given first.
 *
 * Answers a takeover after leases have lapsed, when every task has to start again: a plan stops at what can be sent
 * soon, and a step whose size did not fit is not tried for each of its tasks.
 */
export class StartPlan {
  private readonly unplaceableSizes = new Set<string>()
  private readonly candidates = new Map<string, StartCandidates>()
  private remainingStarts: number

  private constructor (private readonly options: StartPlanOptions) {
    this.remainingStarts = options.startLimit
  }

  /**
   * Creates a plan that has placed nothing.
   * @param options The workers, the limit, and how a task is started.
   * @returns The plan, valid until something else than its starts changes a worker.
   */
  static create (options: StartPlanOptions): StartPlan {
    return new StartPlan(options)
  }

  /** Whether as many tasks were placed as can be sent soon. */
  get isFull (): boolean {
    return this.remainingStarts <= 0
  }

  /**
   * Places the waiting tasks of a step, as far as there is room.
   * @param step The step, all of whose earlier steps are done.
   * @param serviceName The service whose workers may run it.
   */
  placeStep (step: StepRecord, serviceName: string): void {
    if (step.specification.gang) this.placeGang(step, serviceName)
    else this.placeTasks(step, serviceName)
  }

  private placeGang (step: StepRecord, serviceName: string): void {
    const { workers, getConditions } = this.options
    const attempt = Math.max(...step.tasks.map(task => task.nextAttempt))
    for (const { task, worker } of selectGangPlacement(step, workers, getConditions(serviceName))) {
      this.start(task, worker, attempt)
    }
  }

  private placeTasks (step: StepRecord, serviceName: string): void {
    // A step whose size did not fit a moment ago does not fit now either; the search is the costly part.
    const size = getSizeKey(step)
    if (this.unplaceableSizes.has(size)) return
    const candidates = this.getCandidates(serviceName)
    for (const task of step.tasks) {
      if (task.done || task.runs.length > 0) continue
      if (this.isFull) return
      const worker = candidates.choose(task)
      if (worker === null) {
        this.unplaceableSizes.add(size)
        return
      }
      this.start(task, worker, task.nextAttempt)
    }
  }

  private start (task: TaskRecord, worker: WorkerRecord, attempt: number): void {
    this.remainingStarts--
    this.options.start(task, worker, attempt)
  }

  private getCandidates (serviceName: string): StartCandidates {
    const existing = this.candidates.get(serviceName)
    if (existing !== undefined) return existing
    const candidates = StartCandidates.create(this.options.workers, this.options.getConditions(serviceName))
    this.candidates.set(serviceName, candidates)
    return candidates
  }
}

function getSizeKey (step: StepRecord): string {
  const cached = sizeKeys.get(step)
  if (cached !== undefined) return cached
  const { specification: s, occurrence } = step
  const scope = s.maximumPerWorker > 0 ? `${occurrence.job.submission.jobId}.${occurrence.number}.${step.index}` : ''
  const size = `${occurrence.job.submission.queueName} ${s.fills} ${s.processorsMilli} ${s.memoryMegabytes} ` +
    `${s.accelerators} ${s.requiredLabel} ${scope}`
  sizeKeys.set(step, size)
  return size
}
