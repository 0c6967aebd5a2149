import type { WorkerEntry } from '../../src/dispatch/index.js'
import type { JobSpecification, StepSpecification } from '../../src/jobs/index.js'
import type { VirtualClock } from '../../src/shared/VirtualClock.js'
import type { EmulatedSite } from './EmulatedSite.js'
import type { EmulatedWorker } from './EmulatedWorker.js'

/** Options of a judge. */
export interface LostJobJudgeOptions {
  site: EmulatedSite
  clock: VirtualClock
  /** Returns the time since which no fault has been active, or null while one is. */
  getCalmSince (): number | null
  /** Returns whether a fault keeps a worker from running tasks or from being reached by all instances. */
  isWorkerAffected (workerId: string): boolean
  /** Returns whether the tasks of a step may wait for the cap of their client account; by default, none may. */
  mayWaitForCap? (jobId: string, step: StepSpecification): boolean
}

/** A job, or a long-running task, that could run and did not for longer than the bound. */
export interface LostWork {
  /** The job, or the name of the long-running task. */
  name: string
  /** A step with a task that could start. */
  step: number
  /** When the wait began and for how long it had lasted when it was found. */
  since: number
  waitedMilliseconds: number
  /** The number of tasks of the step for which the workers had room. */
  room: number
}

/** A job that was accepted and has not ended. */
interface ObservedJob {
  jobId: string
  specification: JobSpecification
}

/** A worker in service, and how the platform lists it. */
interface ListedWorker {
  workerId: string
  worker: EmulatedWorker
  entry: WorkerEntry
}

/** Since when something could run and does not, and whether that lasts in this sample. */
interface Wait {
  since: number
  roomSince: number | null
}

const SAMPLE_MILLISECONDS = 250
/** A job may have nothing running for this long while there is room for it. */
const WAIT_LIMIT_MILLISECONDS = 3000
/** A long-running task must run again within this time after its last run. */
const RESTART_LIMIT_MILLISECONDS = 6000
/** A long-running task is judged at any time when no fault was active this long before the wait. */
const CALM_MILLISECONDS = 4000
/** A job that ends is judged while less than this share of the capacity of its service is in use. */
const USED_SHARE_LIMIT = 0.5
/** A worker that executes a start late does so within this time. */
const LATE_ORDER_MILLISECONDS = 12_000
/** A job waits for capacity unless the workers have room for this many times the task, or the gang. */
const ROOM_FACTOR = 2

/** Test oracle for accepted jobs that could run and do not, sampled while the clock advances. */
export class LostJobJudge {
  private readonly jobs = new Map<string, ObservedJob>()
  private readonly waits = new Map<string, Wait>()
  /** Since when each job could repeat its lost completions and has nothing running. */
  private readonly repeatWaits = new Map<string, number>()
  private readonly lost = new Map<string, LostWork>()
  private finishAt = Infinity
  /** The longest wait of a job that ends, with room for it, which ended or was judged after the finish. */
  longestWaitMilliseconds = 0

  private constructor (private readonly options: LostJobJudgeOptions) {}

  /**
   * Creates a judge without jobs.
   * @param options The site, its clock and its faults.
   * @returns The judge.
   */
  static create (options: LostJobJudgeOptions): LostJobJudge {
    return new LostJobJudge(options)
  }

  /** All waits that exceeded a bound, in the order in which they did. */
  get violations (): LostWork[] {
    return [...this.lost.values()]
  }

  /**
   * Returns whether a job rightly has tasks to run again whose completions were lost with their worker processes.
   * @param jobId The job, which must have been accepted.
   * @returns False if there is no such task, or if nothing has run for the bound although there was room for each.
   */
  mayHaveToRepeat (jobId: string): boolean {
    const job = this.jobs.get(jobId)
    if (job === undefined || this.getStepsToRepeat(job).length === 0) return false
    const since = this.repeatWaits.get(jobId) ?? Infinity
    return this.options.clock.monotonicMilliseconds() - since < WAIT_LIMIT_MILLISECONDS
  }

  /** Records that a job was accepted and is not to be cancelled. */
  recordAcceptedJob (jobId: string): void {
    this.jobs.set(jobId, { jobId, specification: this.options.site.specifications.get(jobId)! })
  }

  /** Records that the cancellation of a job was requested, so that it need not run any more. */
  recordCancellation (jobId: string): void {
    this.jobs.delete(jobId)
  }

  /** Starts to judge jobs that end; before this, only long-running tasks are judged, and only when it is calm. */
  startFinish (): void {
    this.finishAt = this.options.clock.monotonicMilliseconds()
  }

  /**
   * Advances the clock and samples the site at a fixed interval.
   * @param durationMilliseconds The time to advance by.
   */
  async advance (durationMilliseconds: number): Promise<void> {
    const { clock } = this.options
    const end = clock.monotonicMilliseconds() + durationMilliseconds
    for (let now = clock.monotonicMilliseconds(); now < end; now = clock.monotonicMilliseconds()) {
      await clock.advance(Math.min(SAMPLE_MILLISECONDS, end - now))
      this.sample()
    }
  }

  private sample (): void {
    const now = this.options.clock.monotonicMilliseconds()
    const listed = this.getListedWorkers()
    const workers = listed.filter(({ workerId }) => !this.options.isWorkerAffected(workerId))
    const usedShares = new Map<string, number>()
    const running = new Set(this.options.site.judge.getRunningTasks())
    for (const job of this.jobs.values()) {
      const serviceName = this.options.site.getServiceName(job.jobId)
      const ofService = workers.filter(({ entry }) => entry.serviceName === serviceName)
      if (!usedShares.has(serviceName)) {
        usedShares.set(serviceName, getUsedShare(listed.filter(({ entry }) => entry.serviceName === serviceName)))
      }
      this.checkJob(job, ofService, usedShares.get(serviceName)!, now)
      this.observeRepeats(job, ofService, usedShares.get(serviceName)!, now)
      this.checkLongRunningTasks(job, ofService, usedShares.get(serviceName)!, running, now)
    }
  }

  /** Returns the workers that are in service, whether or not a fault affects them. */
  private getListedWorkers (): ListedWorker[] {
    const { site } = this.options
    const found: ListedWorker[] = []
    for (const [workerId, worker] of site.workers) {
      const entry = site.getWorkerEntry(workerId)
      if (!worker.isAlive || entry?.state !== 'ready' || site.operators.isDataCentreOut(entry.dataCentre)) continue
      found.push({ workerId, worker, entry })
    }
    return found
  }

  private checkJob (job: ObservedJob, workers: ListedWorker[], usedShare: number, now: number): void {
    const { site: { judge } } = this.options
    const startable = judge.hasRunning(job.jobId) || judge.mayHaveFailed(job.jobId) || usedShare >= USED_SHARE_LIMIT
      ? undefined
      : this.findStartable(job, workers, now)
    const existing = this.waits.get(job.jobId)
    if (startable === undefined) {
      if (existing !== undefined && now >= this.finishAt) this.recordWait(now - existing.since)
      this.waits.delete(job.jobId)
      return
    }
    const wait = existing ?? { since: now, roomSince: now }
    this.waits.set(job.jobId, wait)
    if (now < this.finishAt) return
    this.recordWait(now - wait.since)
    if (now - wait.since >= WAIT_LIMIT_MILLISECONDS) this.report(job.jobId, startable, wait.since, now)
  }

  private observeRepeats (job: ObservedJob, workers: ListedWorker[], usedShare: number, now: number): void {
    const steps = this.getStepsToRepeat(job)
    const couldRepeat = steps.length > 0 && usedShare < USED_SHARE_LIMIT &&
      !this.options.site.judge.hasRunning(job.jobId) &&
      steps.every(({ occurrence, step }) => this.hasRoom(job, workers, occurrence, step))
    if (!couldRepeat) this.repeatWaits.delete(job.jobId)
    else if (!this.repeatWaits.has(job.jobId)) this.repeatWaits.set(job.jobId, now)
  }

  /** Returns the steps with a completion that was lost, unless the owner has noted it before. */
  private getStepsToRepeat ({ jobId, specification }: ObservedJob): Array<{ occurrence: number, step: number }> {
    const { site: { judge } } = this.options
    const found: Array<{ occurrence: number, step: number }> = []
    for (let occurrence = 0; occurrence < Math.max(1, specification.repeatCount); occurrence++) {
      for (const [step, { taskCount }] of specification.steps.entries()) {
        const names = Array.from({ length: taskCount }, (_, index) => `${jobId}.${occurrence}.${step}.${index}`)
        if (names.some(name => judge.mayBeLostCompletion(name))) found.push({ occurrence, step })
      }
    }
    return found
  }

  private hasRoom (job: ObservedJob, workers: ListedWorker[], occurrence: number, step: number): boolean {
    const specification = job.specification.steps[step]
    const needed = (specification.gang ? specification.taskCount : 1) * ROOM_FACTOR
    return this.countStartable(workers, job.jobId, occurrence, step, specification) >= needed
  }

  private checkLongRunningTasks (
    job: ObservedJob, workers: ListedWorker[], usedShare: number, running: ReadonlySet<string>, now: number
  ): void {
    const calmSince = this.options.getCalmSince()
    for (const [step, specification] of job.specification.steps.entries()) {
      if (!specification.longRunning || !this.isReady(job, 0, specification)) continue
      const room = this.countStartable(workers, job.jobId, 0, step, specification)
      for (let index = 0; index < specification.taskCount; index++) {
        const name = `${job.jobId}.0.${step}.${index}`
        if (running.has(name)) {
          this.waits.delete(name)
          continue
        }
        const wait = this.waits.get(name) ?? { since: now, roomSince: null }
        this.waits.set(name, wait)
        if (room < ROOM_FACTOR) wait.roomSince = null
        else wait.roomSince ??= now
        if (wait.roomSince === null || now - wait.roomSince < WAIT_LIMIT_MILLISECONDS) continue
        if (now - wait.since < RESTART_LIMIT_MILLISECONDS) continue
        const isCalm = calmSince !== null && now - calmSince >= CALM_MILLISECONDS + WAIT_LIMIT_MILLISECONDS
        const isFinish = now >= this.finishAt && usedShare < USED_SHARE_LIMIT
        if (isCalm || isFinish) this.report(name, { step, room }, wait.since, now)
      }
    }
  }

  /** Returns a step with a task, or a gang, that could start twice. */
  private findStartable (
    job: ObservedJob, workers: ListedWorker[], now: number
  ): { step: number, room: number } | undefined {
    const { specification: { steps, repeatCount, startAtMilliseconds, intervalMilliseconds } } = job
    for (let occurrence = 0; occurrence < Math.max(1, repeatCount); occurrence++) {
      if (repeatCount > 0 && startAtMilliseconds + occurrence * intervalMilliseconds > now) break
      for (const [step, specification] of steps.entries()) {
        if (specification.longRunning || !this.isReady(job, occurrence, specification)) continue
        if (this.isStepDone(job, occurrence, step) || this.isOrderedLate(job, occurrence, step, now)) continue
        const needed = (specification.gang ? specification.taskCount : 1) * ROOM_FACTOR
        const room = this.countStartable(workers, job.jobId, occurrence, step, specification)
        if (room >= needed) return { step, room }
      }
    }
    return undefined
  }

  private isReady (job: ObservedJob, occurrence: number, { afterSteps }: StepSpecification): boolean {
    return afterSteps.every(step => this.isEveryTask(job, occurrence, step, name => this.isKnownToBeDone(name)))
  }

  private isStepDone (job: ObservedJob, occurrence: number, step: number): boolean {
    return this.isEveryTask(job, occurrence, step, name => this.options.site.judge.isDone(name))
  }

  /**
   * Returns whether each task of a step that is not done has a start that its worker executes late. Rules with a time
   * bound do not hold for such orders: until one can no longer be executed, its task must not run elsewhere.
   */
  private isOrderedLate (job: ObservedJob, occurrence: number, step: number, now: number): boolean {
    const { site: { judge } } = this.options
    const isLate = (name: string): boolean => now - judge.getLateOrderedAt(name) < LATE_ORDER_MILLISECONDS
    const isGang = job.specification.steps[step].gang
    return isGang
      ? !this.isEveryTask(job, occurrence, step, name => !isLate(name))
      : this.isEveryTask(job, occurrence, step, name => judge.isDone(name) || isLate(name))
  }

  /** Returns whether a task is done and the owner could learn of it. */
  private isKnownToBeDone (taskName: string): boolean {
    const { site: { judge }, isWorkerAffected } = this.options
    if (judge.isAcknowledged(taskName)) return true
    return judge.isDone(taskName) && !isWorkerAffected(judge.lastRunWorkerIds.get(taskName)!)
  }

  private isEveryTask (
    { jobId, specification }: ObservedJob, occurrence: number, step: number, isMet: (taskName: string) => boolean
  ): boolean {
    const { taskCount } = specification.steps[step]
    for (let index = 0; index < taskCount; index++) {
      if (!isMet(`${jobId}.${occurrence}.${step}.${index}`)) return false
    }
    return true
  }

  /** Returns how many more tasks of a step could start: none that may wait for the cap of their account. */
  private countStartable (
    workers: readonly ListedWorker[], jobId: string, occurrence: number, step: number, specification: StepSpecification
  ): number {
    if (this.options.mayWaitForCap?.(jobId, specification) === true) return 0
    return this.countRoom(workers, jobId, occurrence, step, specification)
  }

  /**
   * Returns how many more tasks of a step the workers can run, with its label and within its limit per worker. The
   * processors of best-effort tasks do not count against the capacity of a worker.
   */
  private countRoom (
    workers: readonly ListedWorker[], jobId: string, occurrence: number, step: number, specification: StepSpecification
  ): number {
    const { requiredLabel, maximumPerWorker } = specification
    const prefix = `${jobId}.${occurrence}.${step}.`
    let count = 0
    for (const { worker, entry: { labels } } of workers) {
      if (requiredLabel !== '' && !labels.includes(requiredLabel)) continue
      const runs = worker.getRuns()
      const runCount = runs.filter(({ taskName }) => taskName.startsWith(prefix)).length
      const limit = maximumPerWorker === 0 ? Infinity : maximumPerWorker - runCount
      count += Math.max(0, Math.min(limit, worker.countRoom(specification)))
    }
    return count
  }

  private recordWait (milliseconds: number): void {
    this.longestWaitMilliseconds = Math.max(this.longestWaitMilliseconds, milliseconds)
  }

  private report (name: string, { step, room }: { step: number, room: number }, since: number, now: number): void {
    this.lost.set(`${name} ${since}`, { name, step, since, waitedMilliseconds: now - since, room })
  }
}

/** Returns the larger one of the shares of processors and of memory that are in use. */
function getUsedShare (workers: readonly ListedWorker[]): number {
  const sums = { processors: 0, memory: 0, usedProcessors: 0, usedMemory: 0 }
  for (const { worker, entry: { capacity } } of workers) {
    const used = worker.getUsedCapacity()
    sums.processors += capacity.processorsMilli
    sums.memory += capacity.memoryMegabytes
    sums.usedProcessors += used.processorsMilli
    sums.usedMemory += used.memoryMegabytes
  }
  if (sums.processors === 0 || sums.memory === 0) return 1
  return Math.max(sums.usedProcessors / sums.processors, sums.usedMemory / sums.memory)
}
