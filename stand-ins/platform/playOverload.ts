import { decideAdmission, getDraw, LoadMeter } from '../../src/admission/index.js'
import { DispatchEngine, type ListedCompletion, type WorkerRecord } from '../../src/dispatch/index.js'
import type { JobRecord, JobSubmission, RunRecord } from '../../src/jobs/index.js'
import { createRandom } from '../shared/createRandom.js'
import { createSubmission } from './createSubmission.js'
import { createWorkerEntry } from './createWorkerEntry.js'
import type { SizeMix } from './sizeMixes.js'

const WORKER_COUNT = 20
const WORKER_PROCESSORS = 16
/** The mean run time of a task. */
const TASK_MILLISECONDS = 2000
/** The run times of the tasks of a job differ by up to this share. */
const UNEVEN_SHARE = 0.15
/** Estimates of run times are wrong by up to this share of the true one. */
const ESTIMATE_ERROR_SHARE = 0.5
const STEP_MILLISECONDS = 100
const STRETCH = 2
const TARGET_LATENCY_MILLISECONDS = 1000
/** The number of widths that are drawn to find out the mean work of a mix. */
const SAMPLE_COUNT = 20_000
/** Starts that can be sent in one step beside those of the step, so that the owner isn't limited by single steps. */
const MAXIMUM_UNSENT_STARTS = 64

/**
 * What limits the site: the reserved processors of the workers (`reserved`), the room for tasks that use what others
 * leave (`best-effort`), or the number of starts that the owner can send (`starts`).
 */
export type SiteLimit = 'reserved' | 'best-effort' | 'starts'

/** A kind of job in a simulated overload. */
export interface PlayedKind {
  queueName: string
  priority: number
  mix: SizeMix
  /** The work that arrives, relative to what the site can carry. */
  load: number
}

/** Options of a simulated overload. */
export interface OverloadOptions {
  seed: number
  kinds: readonly PlayedKind[]
  limit: SiteLimit
  /** How long jobs arrive; then the site gets half of that time to complete what is left. */
  arrivalMilliseconds: number
  /** Whether jobs may be refused by the load that the owner publishes; false by default. */
  hasAdmission?: boolean
  /** Returns the factor of the load at a time; 1 by default. */
  getLoadFactor? (milliseconds: number): number
  /** See `DispatchEngineOptions`; false by default. */
  protectsUrgentWork?: boolean
  /** See `DispatchEngineOptions`. */
  getRunTimeRatio? (queueName: string, fills: boolean): number
  /**
   * Returns the run times of a job relative to its estimates, from which its objective follows; by default, run times
   * are near the estimates.
   */
  drawRunTimeFactor? (random: () => number): number
}

/** A job of a simulated overload. */
export interface PlayedJob {
  queueName: string
  /** The true work in processor milliseconds. */
  work: number
  submittedAt: number
  /** The time from submission in which the job must complete to be in time. */
  objectiveMilliseconds: number
  completedAt: number | null
  isRefused: boolean
}

interface ArrivingJob {
  played: PlayedJob
  durations: number[][]
}

/** A site whose tasks run for their true time, on which jobs of several kinds arrive at a constant rate. */
class OverloadedSite {
  private readonly random: () => number
  private readonly loadMeter: LoadMeter | null
  private readonly engine: DispatchEngine
  private readonly stopped = new Set<RunRecord>()
  private readonly jobs = new Map<string, ArrivingJob>()
  private readonly workers: Array<{ worker: WorkerRecord, endedCount: number }>
  private readonly startsPerStep: number
  private unsentStarts = 0
  private now = 0

  private constructor (private readonly options: OverloadOptions) {
    this.random = createRandom(options.seed)
    this.engine = DispatchEngine.create({
      epoch: 1, protectsUrgentWork: options.protectsUrgentWork, getRunTimeRatio: options.getRunTimeRatio
    })
    this.loadMeter = options.hasAdmission === true
      ? LoadMeter.create({ ...this.engine, epoch: 1 })
      : null
    this.workers = Array.from({ length: WORKER_COUNT }, (_, index) => {
      const capacity = { processorsMilli: WORKER_PROCESSORS * 1000, memoryMegabytes: 64_000, accelerators: 0 }
      const worker = this.engine.setWorker(createWorkerEntry({ workerId: `worker-${index}`, capacity }))
      worker.registered = true
      return { worker, endedCount: 0 }
    })
    this.startsPerStep = options.limit === 'starts' ? this.getTasksPerStep() / 2 : Infinity
  }

  static create (options: OverloadOptions): OverloadedSite {
    return new OverloadedSite(options)
  }

  play (): PlayedJob[] {
    const { kinds, arrivalMilliseconds } = this.options
    const rates = kinds.map(kind => this.getJobsPerStep(kind))
    const due = kinds.map(() => 0)
    for (; this.now < arrivalMilliseconds * 1.5; this.now += STEP_MILLISECONDS) {
      for (const [index, kind] of kinds.entries()) {
        const rate = rates[index] * (this.options.getLoadFactor?.(this.now) ?? 1)
        due[index] += this.now < arrivalMilliseconds ? rate * 2 * this.random() : 0
        for (; due[index] >= 1; due[index]--) this.addJob(kind)
      }
      for (const row of this.workers) this.report(row)
      this.loadMeter?.measure(this.now, this.now)
      this.startTasks()
      this.completeJobs()
    }
    return [...this.jobs.values()].map(({ played }) => played)
  }

  /** Returns the tasks that the workers can end in a step. */
  private getTasksPerStep (): number {
    return WORKER_COUNT * WORKER_PROCESSORS * STEP_MILLISECONDS / TASK_MILLISECONDS
  }

  private getJobsPerStep ({ mix, load }: PlayedKind): number {
    const random = createRandom(1)
    let tasks = 0
    for (let index = 0; index < SAMPLE_COUNT; index++) for (const width of mix(random)) tasks += width
    return load * Math.min(this.getTasksPerStep(), this.startsPerStep) / (tasks / SAMPLE_COUNT)
  }

  private addJob ({ queueName, priority, mix }: PlayedKind): void {
    const { random, now } = this
    const jobId = `job-${this.jobs.size}`
    const factor = this.options.drawRunTimeFactor?.(random)
    const durations = mix(random).map(width => {
      const mean = TASK_MILLISECONDS * (0.75 + 0.5 * random()) * (factor ?? 1)
      return Array.from({ length: width }, () => mean * (1 + UNEVEN_SHARE * (2 * random() - 1)))
    })
    const chain = durations.reduce((sum, step) => sum + Math.max(...step), 0)
    const objectiveMilliseconds = STRETCH * chain / (factor ?? 1) + TARGET_LATENCY_MILLISECONDS
    const steps = durations.map((step, index) => {
      const mean = step.reduce((sum, duration) => sum + duration, 0) / step.length
      return {
        taskCount: step.length,
        memoryMegabytes: 100,
        estimateMilliseconds: factor === undefined
          ? mean * (1 + ESTIMATE_ERROR_SHARE * (2 * random() - 1))
          : mean / factor,
        afterSteps: index === 0 ? [] : [index - 1],
        fills: this.options.limit === 'best-effort'
      }
    })
    const work = durations.flat().reduce((sum, duration) => sum + duration, 0)
    const submission = createSubmission(steps, {
      jobId,
      queueName,
      priority,
      stretch: STRETCH,
      targetLatencyMilliseconds: TARGET_LATENCY_MILLISECONDS,
      acceptedAtMilliseconds: now
    })
    const isRefused = this.isRefused(submission)
    this.jobs.set(jobId, {
      played: { queueName, work, submittedAt: now, objectiveMilliseconds, completedAt: null, isRefused }, durations
    })
    if (!isRefused) this.engine.jobs.add({ submission, progress: [], recovered: false }, now)
  }

  private isRefused (submission: JobSubmission): boolean {
    const summary = this.loadMeter?.getSummary(this.now) ?? null
    const decision = decideAdmission({
      summary,
      summaryAge: summary?.ageMilliseconds ?? 0,
      ownerEpoch: 1,
      submission,
      draw: getDraw(submission.jobId),
      random: 0.5
    })
    return decision.kind === 'refused'
  }

  private getDuration ({ task }: RunRecord): number {
    const { step, index } = task
    return this.jobs.get(step.occurrence.job.submission.jobId)!.durations[step.index][index]
  }

  private report (row: { worker: WorkerRecord, endedCount: number }): void {
    const { now } = this
    const ended: ListedCompletion[] = []
    const running = []
    for (const run of row.worker.runs.values()) {
      const share = (now - run.startedAt) / this.getDuration(run)
      const { task: { name: taskName }, attempt } = run
      const isStopped = this.stopped.delete(run)
      if (isStopped) ended.push({ number: ++row.endedCount, taskName, attempt, end: 'stopped', checkpoint: '' })
      else if (share >= 1) ended.push({ number: ++row.endedCount, taskName, attempt, end: 'done', checkpoint: '' })
      else running.push({ taskName, attempt, checkpoint: '', percent: Math.floor(share * 100), usageFigure: 1000 })
    }
    this.engine.applyReport(
      row.worker, { workerMilliseconds: now, bornAtMilliseconds: 1, running, ended }, now, now)
  }

  private startTasks (): void {
    const { engine, now } = this
    this.unsentStarts = Math.min(MAXIMUM_UNSENT_STARTS + this.startsPerStep, this.unsentStarts + this.startsPerStep)
    engine.markDirty()
    engine.plan(now, now, true, Math.floor(this.unsentStarts))
    for (const order of engine.takeOrders()) {
      if (order.kind === 'stop' && order.run !== null) {
        this.stopped.add(order.run)
        engine.applyStopOutcome(order.run, { kind: 'accepted', workerMilliseconds: now }, now)
      }
      if (order.kind !== 'start') continue
      this.unsentStarts--
      engine.applyStartOutcome(order.worker, order.run, { kind: 'accepted', workerMilliseconds: now }, now)
    }
  }

  private completeJobs (): void {
    const { engine, now } = this
    for (const segment of engine.jobs.takeChanged(1000)) {
      const { job }: { job: JobRecord } = segment
      if (job.finalState !== 'completed') continue
      this.jobs.get(job.submission.jobId)!.played.completedAt = now
      engine.jobs.confirmDurable([{ segment, state: job.finalState }], now)
    }
  }
}

/**
 * Plays jobs of several kinds on a site that they overload, or not, with run times that their submitters misjudge.
 * @param options The kinds, the limit of the site and the seed.
 * @returns The jobs in the order of their submission.
 */
export function playOverload (options: OverloadOptions): PlayedJob[] {
  return OverloadedSite.create(options).play()
}
