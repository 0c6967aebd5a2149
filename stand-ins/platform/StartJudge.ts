import type { Clock } from '../../src/shared/Clock.js'
import { isCheckpointOf } from './EmulatedRun.js'
import { getUnitName, splitTaskName, type TaskRules } from './TaskRules.js'

/** What is known of a start besides its run. */
export interface StartCircumstances {
  /** The service of the worker. */
  serviceName: string
  /** The kind and the rack of the worker. */
  labels: string[]
  checkpoint: string
  /** Whether the worker executed the order long after it was sent. */
  isLate: boolean
}

/** Options of a judge of starts. */
export interface StartJudgeOptions {
  clock: Clock
  /** Returns the rules of a task, or null if no client has submitted its job. */
  getRules (taskName: string): TaskRules | null
}

/** An occurrence of a scheduled job may start this long before its time. */
const EARLY_MILLISECONDS = 250
/** Copies of a speculative task may start for this long after an acknowledged end. */
const COPY_MILLISECONDS = 1000

/** Test oracle for the rules of jobs on starts: order of steps, schedule, allowed workers, attempts and checkpoints. */
export class StartJudge {
  /** The completed tasks of each step, by the name of the step. */
  private readonly doneTasks = new Map<string, Set<string>>()
  /** The acknowledged failed attempts of each task or gang, and when the last one was acknowledged. */
  private readonly failures = new Map<string, { attempts: Set<number>, lastAt: number }>()
  private readonly acknowledgedAt = new Map<string, number>()
  /** The number of runs of each step on each worker. */
  private readonly runCounts = new Map<string, number>()

  private constructor (private readonly options: StartJudgeOptions) {}

  /**
   * Creates a judge without records.
   * @param options The clock and the rules of the tasks.
   * @returns The judge.
   */
  static create (options: StartJudgeOptions): StartJudge {
    return new StartJudge(options)
  }

  /** Returns the rules of a task. */
  getRules (taskName: string): TaskRules | null {
    return this.options.getRules(taskName)
  }

  /** Returns the name under which the ends of a task count. */
  getUnitName (taskName: string): string {
    return getUnitName(taskName, this.getRules(taskName)?.step ?? null)
  }

  /**
   * Records a start that a worker has executed.
   * @param taskName The task.
   * @param attempt The attempt.
   * @param workerId The worker.
   * @param circumstances What else is known of the start.
   * @returns The violations.
   */
  recordStart (taskName: string, attempt: number, workerId: string, circumstances: StartCircumstances): string[] {
    const { stepName } = splitTaskName(taskName)
    const key = getCountKey(stepName, workerId)
    const runCount = (this.runCounts.get(key) ?? 0) + 1
    this.runCounts.set(key, runCount)
    const rules = this.getRules(taskName)
    if (rules === null) return []
    const faults = [
      ...this.findOrderFaults(taskName, rules),
      ...findRouteFaults(rules, runCount, circumstances),
      ...this.findBudgetFaults(taskName, rules, circumstances.isLate),
      ...isCheckpointOf(circumstances.checkpoint, this.getUnitName(taskName))
        ? []
        : [`unasked: checkpoint ${circumstances.checkpoint}`],
      ...this.findLateCopies(taskName, rules, circumstances.isLate)
    ]
    return faults.map(fault => `${fault}: ${taskName} run ${attempt} on ${workerId}`)
  }

  /** Records that a run has ended. */
  recordRunEnd (taskName: string, workerId: string): void {
    const key = getCountKey(splitTaskName(taskName).stepName, workerId)
    this.runCounts.set(key, (this.runCounts.get(key) ?? 0) - 1)
  }

  /** Records that a run has completed. */
  recordCompletion (taskName: string): void {
    const { stepName } = splitTaskName(taskName)
    const done = this.doneTasks.get(stepName) ?? new Set()
    this.doneTasks.set(stepName, done.add(taskName))
  }

  /** Records that the owner has acknowledged a completion. */
  recordAcknowledgedCompletion (taskName: string): void {
    const unitName = this.getUnitName(taskName)
    if (!this.acknowledgedAt.has(unitName)) this.acknowledgedAt.set(unitName, this.now())
  }

  /** Records that the owner has acknowledged a failed end. */
  recordAcknowledgedFailure (taskName: string, attempt: number): void {
    const unitName = this.getUnitName(taskName)
    const attempts = this.failures.get(unitName)?.attempts ?? new Set()
    this.failures.set(unitName, { attempts: attempts.add(attempt), lastAt: this.now() })
  }

  /** Returns whether a run of a task has completed, whether or not its end was acknowledged. */
  isDone (taskName: string): boolean {
    return this.doneTasks.get(splitTaskName(taskName).stepName)?.has(taskName) === true
  }

  /** Returns whether all tasks of the steps before that of a task have completed. */
  isTurn (taskName: string): boolean {
    const rules = this.getRules(taskName)
    return rules !== null && this.findOrderFaults(taskName, rules).length === 0
  }

  private findOrderFaults (taskName: string, { step, specification }: TaskRules): string[] {
    const { jobId, occurrence } = splitTaskName(taskName)
    const faults: string[] = []
    for (const index of step.afterSteps) {
      const doneCount = this.doneTasks.get(`${jobId}.${occurrence}.${index}`)?.size ?? 0
      const { taskCount } = specification.steps[index]
      if (doneCount < taskCount) faults.push(`order: ${doneCount} of ${taskCount} tasks of step ${index} are done`)
    }
    if (specification.repeatCount === 0) return faults
    const dueAt = specification.startAtMilliseconds + occurrence * specification.intervalMilliseconds
    const earlyMilliseconds = dueAt - this.options.clock.wallMilliseconds()
    if (earlyMilliseconds > EARLY_MILLISECONDS) faults.push(`order: ${Math.round(earlyMilliseconds)} ms early`)
    return faults
  }

  private findBudgetFaults (taskName: string, { step, queue }: TaskRules, isLate: boolean): string[] {
    const failures = this.failures.get(this.getUnitName(taskName))
    if (failures === undefined || step.longRunning || failures.attempts.size < queue.attemptLimit) return []
    if (step.speculative && (isLate || this.now() - failures.lastAt <= COPY_MILLISECONDS)) return []
    return [`budget: ${failures.attempts.size} attempts have failed`]
  }

  private findLateCopies (taskName: string, { step }: TaskRules, isLate: boolean): string[] {
    const acknowledgedAt = this.acknowledgedAt.get(this.getUnitName(taskName))
    if (!step.speculative || step.longRunning || isLate || acknowledgedAt === undefined) return []
    const milliseconds = this.now() - acknowledgedAt
    return milliseconds > COPY_MILLISECONDS ? [`again: ${Math.round(milliseconds)} ms after its acknowledged end`] : []
  }

  private now (): number {
    return this.options.clock.monotonicMilliseconds()
  }
}

function findRouteFaults (
  { step, queue }: TaskRules, runCount: number, { serviceName, labels }: StartCircumstances
): string[] {
  const faults: string[] = []
  if (serviceName !== queue.serviceName) faults.push(`route: service ${serviceName} instead of ${queue.serviceName}`)
  if (step.requiredLabel !== '' && !labels.includes(step.requiredLabel)) {
    faults.push(`route: no label ${step.requiredLabel}`)
  }
  if (step.maximumPerWorker > 0 && runCount > step.maximumPerWorker) {
    faults.push(`route: ${runCount} runs of the step, at most ${step.maximumPerWorker} are allowed`)
  }
  return faults
}

function getCountKey (stepName: string, workerId: string): string {
  return `${stepName} ${workerId}`
}
