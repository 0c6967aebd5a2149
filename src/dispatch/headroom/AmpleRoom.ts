import { isStepReady, type StepRecord } from '../../jobs/index.js'
import { isEligible, type ChoiceConditions } from '../chooseWorker.js'
import { getSizeKey } from '../getSizeKey.js'
import type { RankedJob } from '../rankJobs.js'
import type { WorkerRecord } from '../WorkerRecord.js'

/** An accepted job must not wait for 3 s while the workers have room for it this many times. */
const AMPLE_FACTOR = 2
/** Work with ample room is not held back for longer, which leaves a second for its start. */
const LONGEST_HOLD_MILLISECONDS = 2000
/** After this time without a look, as while each plan reaches its limit of starts, nothing is held back. */
const OUTDATED_MILLISECONDS = 500
/** The most sizes that one look compares with all workers; tasks of others are not held back. */
const SIZE_LIMIT = 32

/**
 * Since when the workers have had room twice over for long-running tasks that wait, by the size of the task. Room that
 * is kept for other tasks counts: nothing runs there.
 */
export class AmpleRoom {
  private since = new Map<string, number>()
  private isLimited = false
  private lookedAt = -Infinity

  private constructor () {}

  /**
   * Creates an object that has seen no room.
   * @returns The object.
   */
  static create (): AmpleRoom {
    return new AmpleRoom()
  }

  /**
   * Looks for room for the long-running tasks that wait.
   * @param ranked The jobs that have waiting tasks.
   * @param workers All workers.
   * @param getConditions Returns the conditions of a choice for the tasks of a job.
   * @param now The monotonic time.
   * @returns Whether one of the tasks has had ample room for so long that nothing may keep it from its room.
   */
  look (
    ranked: readonly RankedJob[], workers: readonly WorkerRecord[],
    getConditions: (job: RankedJob['job']) => ChoiceConditions, now: number
  ): boolean {
    const since = new Map<string, number>()
    const compared = new Set<string>()
    let isOverdue = false
    this.lookedAt = now
    this.isLimited = false
    for (const step of findLongRunningSteps(ranked)) {
      const conditions = getConditions(step.occurrence.job)
      const key = getKey(step, conditions.serviceName)
      if (compared.has(key)) continue
      if (compared.size === SIZE_LIMIT) {
        this.isLimited = true
        break
      }
      compared.add(key)
      if (!hasAmpleRoom(step, workers, conditions)) continue
      const at = this.since.get(key) ?? now
      since.set(key, at)
      if (now - at >= LONGEST_HOLD_MILLISECONDS) isOverdue = true
    }
    this.since = since
    return isOverdue
  }

  /**
   * Returns whether a task must not be held back.
   * @param step The step of the task.
   * @param serviceName The service whose workers may run it.
   * @param now The monotonic time.
   * @returns Whether it has had ample room for as long as it may be held back, or has not been compared of late.
   */
  isOverdue (step: StepRecord, serviceName: string, now: number): boolean {
    if (now - this.lookedAt > OUTDATED_MILLISECONDS) return true
    const at = this.since.get(getKey(step, serviceName))
    return at === undefined ? this.isLimited : now - at >= LONGEST_HOLD_MILLISECONDS
  }
}

function getKey (step: StepRecord, serviceName: string): string {
  return `${JSON.stringify(serviceName)} ${getSizeKey(step)}`
}

function * findLongRunningSteps (ranked: readonly RankedJob[]): Generator<StepRecord> {
  for (const { job, isLongRunning } of ranked) {
    if (!isLongRunning || job.finalState !== null) continue
    for (const { steps } of job.occurrences.values()) {
      for (const step of steps) {
        if (step.specification.longRunning && step.tasks.hasIdle() && isStepReady(step)) yield step
      }
    }
  }
}

/** Returns whether the workers have room for twice a task, or twice a gang. */
function hasAmpleRoom (
  { specification }: StepRecord, workers: readonly WorkerRecord[], conditions: ChoiceConditions
): boolean {
  // Overdue tasks may start on paused workers, so room there counts as well.
  const withPaused = { ...conditions, includesPaused: true }
  let missing = AMPLE_FACTOR * (specification.gang ? specification.taskCount : 1)
  for (const worker of workers) {
    if (!isEligible(worker, withPaused)) continue
    const { reserved, entry: { capacity, labels } } = worker
    if (specification.requiredLabel !== '' && !labels.includes(specification.requiredLabel)) continue
    const neededMilli = specification.fills ? 0 : specification.processorsMilli
    missing -= Math.min(
      countFits(capacity.processorsMilli - reserved.processorsMilli, neededMilli),
      countFits(capacity.memoryMegabytes - reserved.memoryMegabytes, specification.memoryMegabytes),
      countFits(capacity.accelerators - reserved.accelerators, specification.accelerators)
    )
    if (missing <= 0) return true
  }
  return false
}

function countFits (free: number, needed: number): number {
  return needed === 0 ? Infinity : Math.max(0, Math.floor(free / needed))
}
