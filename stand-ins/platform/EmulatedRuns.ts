import type {
  ListedCompletion, ListedRun, RunOutcome, StartOrder, WorkerCapacity
} from '../../src/dispatch/index.js'
import type { StepSpecification } from '../../src/jobs/index.js'
import type { Clock } from '../../src/shared/Clock.js'
import { FAR_FACTOR, type EmulatedGangs } from './EmulatedGangs.js'
import type { EmulatedInterference } from './EmulatedInterference.js'
import { EmulatedRun, getReservedCapacity } from './EmulatedRun.js'
import type { EmulatedTask } from './EmulatedTask.js'
import type { RunJudge } from './RunJudge.js'
import { splitTaskName } from './TaskRules.js'
import type { WorkerFaults } from './WorkerFaults.js'

/** What a worker needs to know for the kinds of tasks that a step can have. */
export interface StepContext {
  /** Returns the step of a task, or null if no client has submitted its job. */
  getStep (taskName: string): StepSpecification | null
  gangs: EmulatedGangs
  interference: EmulatedInterference
}

/** Options of the runs of a worker. */
export interface EmulatedRunsOptions {
  workerId: string
  capacity: WorkerCapacity
  /** The kind and the rack of the worker. */
  labels: string[]
  serviceName: string
  clock: Clock
  judge: RunJudge
  random: () => number
  getTask: (taskName: string) => EmulatedTask
  /** Whether starts that do not fit are rejected. */
  guardsCapacity: boolean
  /** Null if all runs are those of plain tasks, whose steps are not known. */
  steps: StepContext | null
  faults: WorkerFaults
  /** Called when a run has ended that is listed from then on. */
  onListedEnd (): void
}

const STOP_MILLISECONDS = 50
/** The largest number of ends in one report; the others follow once those are acknowledged. */
const LISTED_END_LIMIT = 500
/** A member of a gang ends after this long without all other members. */
const GANG_WAIT_MILLISECONDS = 3000
/** A long-running run that fails does so within this time of its start. */
const FAILURE_MILLISECONDS = 5000

/** The runs of one emulated worker, their resources, and the ends that it lists until they are acknowledged. */
export class EmulatedRuns {
  private readonly runs = new Map<string, EmulatedRun>()
  private readonly highestAttempts = new Map<string, number>()
  private endedRuns: ListedCompletion[] = []
  /** Ends of runs before or during a lapse of the lease; starting their tasks again is allowed. */
  private readonly endedUnderLapsedLease = new WeakSet<ListedCompletion>()
  private endedRunCount = 0
  private isLapsing = false
  private readonly used: WorkerCapacity = { processorsMilli: 0, memoryMegabytes: 0, accelerators: 0 }

  private constructor (private readonly options: EmulatedRunsOptions) {}

  /**
   * Creates the runs of an idle worker.
   * @param options The worker and the behaviour of its tasks.
   * @returns The runs.
   */
  static create (options: EmulatedRunsOptions): EmulatedRuns {
    return new EmulatedRuns(options)
  }

  /** The ends that are not acknowledged yet, in the order of their numbers. */
  get ended (): readonly ListedCompletion[] {
    return this.endedRuns
  }

  /** Returns the ends that a report lists. */
  listEnds (): ListedCompletion[] {
    return this.endedRuns.slice(0, LISTED_END_LIMIT)
  }

  /** Returns the current runs. */
  getAll (): EmulatedRun[] {
    return [...this.runs.values()]
  }

  /** Returns the resources that the current runs reserve. */
  getUsedCapacity (): WorkerCapacity {
    return { ...this.used }
  }

  /** Returns how many further runs of a step, or runs with the given resources, fit. */
  countRoom (step: StepSpecification | WorkerCapacity): number {
    const { capacity } = this.options
    const reserved = getReservedCapacity(step)
    const getRoom = (dimension: keyof WorkerCapacity) =>
      reserved[dimension] === 0 ? Infinity : (capacity[dimension] - this.used[dimension]) / reserved[dimension]
    return Math.floor(Math.min(getRoom('processorsMilli'), getRoom('memoryMegabytes'), getRoom('accelerators')))
  }

  /**
   * Starts a run unless it is there already.
   * @param order The start.
   * @param isLate Whether the order is executed long after it was sent.
   * @returns Whether the run is there now; otherwise its attempt is not higher than that of an earlier run, or it does
   * not fit.
   */
  start (order: StartOrder, isLate: boolean): 'started' | 'old' | 'room' {
    const { options } = this
    const { taskName, attempt, checkpoint } = order
    const key = getKey(taskName, attempt)
    if (this.runs.has(key)) return 'started'
    if (attempt <= (this.highestAttempts.get(taskName) ?? 0)) return 'old'
    const step = options.steps?.getStep(taskName) ?? null
    const task = options.getTask(taskName)
    if (options.guardsCapacity && this.countRoom(step ?? task) < 1) return 'room'
    const run = EmulatedRun.create({
      taskName,
      attempt,
      checkpoint,
      task,
      step,
      clock: options.clock,
      onComplete: completed => this.completeRun(completed)
    })
    this.runs.set(key, run)
    this.addUsed(run, 1)
    options.judge.recordStart(taskName, attempt, options.workerId, this.isWithinCapacity(), {
      serviceName: options.serviceName, labels: options.labels, checkpoint, isLate
    })
    if (step?.gang === true) this.joinGang(run)
    else run.setRate(this.getRate(run))
    if (step?.longRunning === true) this.scheduleFailure(run)
    return 'started'
  }

  /** Stops a run, or prevents that it starts later. */
  stop (taskName: string, attempt: number): void {
    this.recordAttempt(taskName, attempt)
    const run = this.runs.get(getKey(taskName, attempt))
    if (run === undefined) return
    this.options.clock.setTimer(STOP_MILLISECONDS, () => {
      if (!this.isCurrent(run)) return
      run.saveAtStop()
      this.endRun(run, 'stopped')
    })
  }

  /** Changes the share of its processors that a run may use, in percent. */
  setPace (taskName: string, attempt: number, percent: number): void {
    const run = this.runs.get(getKey(taskName, attempt))
    if (run === undefined) return
    run.pacePercent = percent
    this.updateRate(run)
  }

  /** Applies the faults of the worker to the speed of all runs. */
  updateRates (): void {
    for (const run of this.runs.values()) this.updateRate(run)
  }

  /** Returns the current runs as the worker reports them. */
  list (): ListedRun[] {
    return this.getAll().map(run => ({
      taskName: run.taskName,
      attempt: run.attempt,
      checkpoint: run.getCheckpoint(),
      percent: run.getPercent(),
      usageFigure: this.getUsageFigure(run)
    }))
  }

  /** Ends all runs because the lease of the worker has expired. */
  lapse (): void {
    this.isLapsing = true
    for (const run of this.getAll()) this.endRun(run, 'lapsed')
    this.isLapsing = false
    for (const ended of this.endedRuns) this.endedUnderLapsedLease.add(ended)
  }

  /** Returns whether the lease has lapsed since a run ended. */
  hasLapsedSince (ended: ListedCompletion): boolean {
    return this.endedUnderLapsedLease.has(ended)
  }

  /** Forgets the ends up to a number. */
  acknowledge (number: number): void {
    const { judge } = this.options
    for (const ended of this.endedRuns) {
      const { number: endNumber, end, taskName, attempt } = ended
      if (endNumber > number) continue
      if (end === 'done') judge.recordAcknowledgedCompletion(taskName, this.hasLapsedSince(ended) ? null : attempt)
      if (end === 'failed') judge.recordAcknowledgedFailure(taskName, attempt)
    }
    this.endedRuns = this.endedRuns.filter(ended => ended.number > number)
  }

  /** Removes all runs without listing their ends, as when the worker process crashes. */
  clear (): void {
    const { judge, workerId } = this.options
    for (const { end, taskName, attempt } of this.endedRuns) {
      if (end === 'done') judge.recordDroppedCompletion(taskName, attempt, workerId)
    }
    for (const run of this.getAll()) {
      if (!this.isCurrent(run)) continue
      this.removeRun(run)
      this.options.steps?.gangs.leave(run, null)
    }
  }

  /** Forgets all ends and attempts, as a new worker process. */
  reset (): void {
    this.clear()
    this.endedRuns = []
    this.endedRunCount = 0
    this.highestAttempts.clear()
  }

  private joinGang (run: EmulatedRun): void {
    const { clock, labels, steps } = this.options
    steps?.gangs.join({
      run,
      rack: labels[1] ?? '',
      getRate: () => this.getRate(run),
      end: (outcome, isListed) => this.endRun(run, this.isLapsing ? 'lapsed' : outcome, isListed)
    })
    clock.setTimer(GANG_WAIT_MILLISECONDS, () => {
      if (this.isCurrent(run) && steps?.gangs.isComplete(run) === false) this.endRun(run, 'alone')
    })
  }

  /** Long-running runs do not complete, so that those that fail do so at a random time. */
  private scheduleFailure (run: EmulatedRun): void {
    const { faults, random, clock } = this.options
    if (faults.failingShare === 0 || random() >= faults.failingShare) return
    clock.setTimer(random() * FAILURE_MILLISECONDS, () => this.endRun(run, 'failed'))
  }

  private getRate (run: EmulatedRun): number {
    const { faults, labels } = this.options
    if (faults.isHanging) return 0
    const preferredRack = run.step?.preferredRack ?? ''
    const farFactor = preferredRack === '' || preferredRack === labels[1] ? 1 : FAR_FACTOR
    return run.pacePercent / 100 / faults.slowdown / farFactor
  }

  private updateRate (run: EmulatedRun): void {
    if (run.step?.gang === true) this.options.steps?.gangs.updateRates(run)
    else run.setRate(this.getRate(run))
  }

  private getUsageFigure (run: EmulatedRun): number {
    const { steps, clock } = this.options
    if (steps === null || run.step === null || run.step.targetMilliseconds === 0) return run.usedProcessorsMilli
    const neighbours = this.getAll().flatMap(({ step, pacePercent }) =>
      step?.fills === true ? [{ image: step.image, pacePercent }] : [])
    const { image, targetMilliseconds } = run.step
    const { stepName } = splitTaskName(run.taskName)
    return steps.interference.getTailMilliseconds(
      { stepName, image, targetMilliseconds }, neighbours, clock.monotonicMilliseconds()
    )
  }

  private completeRun (run: EmulatedRun): void {
    const { judge: { failureCounts }, faults, random } = this.options
    const failed = failureCounts.get(run.unitName) ?? 0
    if (run.task.failsAlways === true || failed < run.task.failureCount) {
      failureCounts.set(run.unitName, failed + 1)
      this.endRun(run, 'failed')
    } else {
      this.endRun(run, faults.failingShare > 0 && random() < faults.failingShare ? 'failed' : 'done')
    }
  }

  private endRun (run: EmulatedRun, outcome: RunOutcome, isListed = true): void {
    if (!this.isCurrent(run)) return
    const { judge, workerId, steps, onListedEnd } = this.options
    this.removeRun(run)
    if (outcome === 'done') judge.recordCompletion(run.taskName, run.attempt)
    if (outcome === 'failed') judge.recordFailedEnd(run.taskName)
    if (outcome === 'lapsed') judge.recordLapse(workerId)
    if (outcome === 'alone') judge.recordAloneEnd(run.taskName, run.attempt, workerId)
    if (isListed) {
      if (outcome === 'done') judge.recordHeldCompletion(run.taskName, run.attempt, workerId)
      this.endedRunCount++
      this.endedRuns.push({
        number: this.endedRunCount,
        taskName: run.taskName,
        attempt: run.attempt,
        end: outcome,
        checkpoint: run.getCheckpoint()
      })
      onListedEnd()
    }
    steps?.gangs.leave(run, outcome)
  }

  private removeRun (run: EmulatedRun): void {
    const { taskName, attempt } = run
    run.end()
    this.runs.delete(getKey(taskName, attempt))
    this.addUsed(run, -1)
    this.recordAttempt(taskName, attempt)
    this.options.judge.recordRunEnd(taskName, attempt, this.options.workerId)
  }

  private isCurrent (run: EmulatedRun): boolean {
    return this.runs.get(getKey(run.taskName, run.attempt)) === run
  }

  private recordAttempt (taskName: string, attempt: number): void {
    this.highestAttempts.set(taskName, Math.max(attempt, this.highestAttempts.get(taskName) ?? 0))
  }

  private addUsed ({ reserved }: EmulatedRun, sign: 1 | -1): void {
    this.used.processorsMilli += sign * reserved.processorsMilli
    this.used.memoryMegabytes += sign * reserved.memoryMegabytes
    this.used.accelerators += sign * reserved.accelerators
  }

  private isWithinCapacity (): boolean {
    const { capacity } = this.options
    return this.used.processorsMilli <= capacity.processorsMilli &&
      this.used.memoryMegabytes <= capacity.memoryMegabytes && this.used.accelerators <= capacity.accelerators
  }
}

function getKey (taskName: string, attempt: number): string {
  return `${taskName}#${attempt}`
}
