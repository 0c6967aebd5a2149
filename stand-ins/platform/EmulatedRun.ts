import type { WorkerCapacity } from '../../src/dispatch/index.js'
import type { StepSpecification } from '../../src/jobs/index.js'
import type { CancelTimer, Clock } from '../../src/shared/Clock.js'
import type { EmulatedTask } from './EmulatedTask.js'
import { getUnitName } from './TaskRules.js'

/** Options of an emulated run. */
export interface EmulatedRunOptions {
  taskName: string
  attempt: number
  /** The checkpoint that the start carries; empty for none. */
  checkpoint: string
  task: EmulatedTask
  /** Null if it is not known. */
  step: StepSpecification | null
  clock: Clock
  /** Called when all work is done. */
  onComplete (run: EmulatedRun): void
}

/** A long-running task is at work after this much work. */
const STARTUP_MILLISECONDS = 300
const CHECKPOINT_PATTERN = /^(.+)#\d+ checkpoint (\d+)$/

/** One run of a task on an emulated worker, which works at a changing rate and saves checkpoints. */
export class EmulatedRun {
  /** The share of its processors that the run may use, in percent. */
  pacePercent = 100
  /** The resources that the run reserves. */
  readonly reserved: WorkerCapacity
  readonly startedAt: number
  private readonly savedMilliseconds: number
  /** The work since the start, which includes the time to resume from a checkpoint. */
  private elapsedMilliseconds = 0
  private updatedAt: number
  private rate = 0
  private stopCheckpoint: string | null = null
  private cancelCompletion: CancelTimer = () => {}
  private hasEnded = false

  private constructor (private readonly options: EmulatedRunOptions) {
    this.startedAt = options.clock.monotonicMilliseconds()
    this.updatedAt = this.startedAt
    this.reserved = getReservedCapacity(options.step ?? options.task)
    this.savedMilliseconds = Number(CHECKPOINT_PATTERN.exec(options.checkpoint)?.[2] ?? 0)
  }

  /**
   * Creates a run that does not work until its rate is set.
   * @param options The task, its step and the checkpoint from which it resumes.
   * @returns The run.
   */
  static create (options: EmulatedRunOptions): EmulatedRun {
    return new EmulatedRun(options)
  }

  get taskName (): string {
    return this.options.taskName
  }

  get attempt (): number {
    return this.options.attempt
  }

  get task (): EmulatedTask {
    return this.options.task
  }

  get step (): StepSpecification | null {
    return this.options.step
  }

  /** The name under which its ends and checkpoints count; the members of a gang share it. */
  get unitName (): string {
    return getUnitName(this.taskName, this.step)
  }

  /** The processors that the run uses at its pace, in thousandths. */
  get usedProcessorsMilli (): number {
    return Math.round((this.step ?? this.task).processorsMilli * this.pacePercent / 100)
  }

  /**
   * Changes the speed of the run.
   * @param rate The work per time; 1 is the usual speed, 0 stops all work.
   */
  setRate (rate: number): void {
    if (this.hasEnded || rate === this.rate) return
    this.recordWork()
    this.rate = rate
    this.cancelCompletion()
    const remaining = this.neededMilliseconds - this.elapsedMilliseconds
    if (rate === 0 || remaining === Infinity) return
    this.cancelCompletion = this.options.clock.setTimer(remaining / rate, () => this.options.onComplete(this))
  }

  /** Ends all work; the run completes no more. */
  end (): void {
    this.recordWork()
    this.hasEnded = true
    this.cancelCompletion()
  }

  /** Saves a checkpoint of all work that is done, if the task makes checkpoints. */
  saveAtStop (): void {
    if (this.task.checkpointMilliseconds === undefined) return
    const work = Math.floor(this.getWork())
    if (work > this.savedMilliseconds) this.stopCheckpoint = this.createCheckpoint(work)
  }

  /** Returns the latest checkpoint, which is that of an earlier run until this one makes one. */
  getCheckpoint (): string {
    if (this.stopCheckpoint !== null) return this.stopCheckpoint
    const { checkpointMilliseconds = Infinity } = this.task
    const count = Math.floor((this.getWork() - this.savedMilliseconds) / checkpointMilliseconds)
    if (count <= 0) return this.options.checkpoint
    return this.createCheckpoint(Math.floor(this.savedMilliseconds + count * checkpointMilliseconds))
  }

  /** Returns the progress in percent. */
  getPercent (): number {
    const { durationMilliseconds } = this.task
    if (this.step?.longRunning === true) {
      return Math.min(100, Math.floor(this.getWork() / STARTUP_MILLISECONDS * 100))
    }
    if (durationMilliseconds === Infinity) return 100
    return Math.min(99, Math.floor(this.getWork() / durationMilliseconds * 100))
  }

  private get neededMilliseconds (): number {
    return this.restoreMilliseconds + Math.max(0, this.task.durationMilliseconds - this.savedMilliseconds)
  }

  private get restoreMilliseconds (): number {
    return this.savedMilliseconds > 0 ? this.task.restoreMilliseconds ?? 0 : 0
  }

  private createCheckpoint (workMilliseconds: number): string {
    return `${this.unitName}#${this.attempt} checkpoint ${workMilliseconds}`
  }

  private getWork (): number {
    this.recordWork()
    return this.savedMilliseconds + Math.max(0, this.elapsedMilliseconds - this.restoreMilliseconds)
  }

  private recordWork (): void {
    if (this.hasEnded) return
    const now = this.options.clock.monotonicMilliseconds()
    this.elapsedMilliseconds += (now - this.updatedAt) * this.rate
    this.updatedAt = now
  }
}

/**
 * Returns the resources that a task reserves on its worker.
 * @param step The step of the task, or the resources of a task whose step is not known.
 * @returns The resources; a best-effort task reserves no processors.
 */
export function getReservedCapacity (step: StepSpecification | WorkerCapacity): WorkerCapacity {
  const { processorsMilli, memoryMegabytes, accelerators } = step
  return { processorsMilli: 'fills' in step && step.fills ? 0 : processorsMilli, memoryMegabytes, accelerators }
}

/**
 * Returns whether a checkpoint belongs to a task.
 * @param checkpoint The checkpoint, empty for none.
 * @param unitName The name under which the checkpoints of the task count.
 * @returns Whether a run of the task can have made it.
 */
export function isCheckpointOf (checkpoint: string, unitName: string): boolean {
  return checkpoint === '' || CHECKPOINT_PATTERN.exec(checkpoint)?.[1] === unitName
}
