import type { RunRecord, StepRecord } from '../../jobs/index.js'
import { isSent } from '../WorkerRecord.js'
import { getGangSendMilliseconds, getLargestGang, type GangTimes } from './GangTimes.js'

/** The pause after the second attempt in a row that took too long to send; it doubles with each further one. */
const FIRST_PAUSE_MILLISECONDS = 500
const LONGEST_PAUSE_MILLISECONDS = 16_000

/** The latest attempt to start a gang. */
interface GangAttempt {
  /** The number that the runs of all members share. */
  attempt: number
  state: 'starting' | 'complete' | 'abandoned'
  /** Monotonic time at which the first start was sent; Infinity before that. */
  firstSentAt: number
  /** The number of attempts in a row that took too long to send. */
  overdueCount: number
  /** Monotonic time before which no other attempt begins. */
  retryAt: number
}

/** Why a gang is not started although its members may be. */
export type GangObstacle = 'gang-too-large' | 'gang-retry-pause'

/**
 * The attempts to start gangs, each of which is of use only if all members start within the time limit of the platform.
 *
 * Handles gangs whose starts take longer to send than that: one that is too large for any owner is not started at all,
 * and attempts that took too long to send are repeated with growing pauses, so that other work gets the starts between
 * them.
 */
export class GangAttempts {
  private readonly attempts = new Map<StepRecord, GangAttempt>()
  /** The number of members of the largest gang that is started. */
  readonly largestGang: number
  private readonly sendMilliseconds: number

  private constructor (times: GangTimes) {
    this.largestGang = getLargestGang(times)
    this.sendMilliseconds = getGangSendMilliseconds(times)
  }

  /**
   * Creates an object without attempts.
   * @param times The limits of the platform.
   * @returns The object.
   */
  static create (times: GangTimes): GangAttempts {
    return new GangAttempts(times)
  }

  /**
   * Returns what keeps a gang from being started, whatever capacity is free.
   * @param step The step, which may be no gang.
   * @param now The monotonic time.
   * @returns The obstacle, or null when there is none.
   */
  getObstacle (step: StepRecord, now: number): GangObstacle | null {
    if (!step.specification.gang) return null
    if (step.specification.taskCount > this.largestGang) return 'gang-too-large'
    return now < (this.attempts.get(step)?.retryAt ?? -Infinity) ? 'gang-retry-pause' : null
  }

  /**
   * Records that a start was planned; the first one of a gang begins an attempt.
   * @param step The step, which may be no gang.
   * @param attempt The number of the attempt.
   */
  begin (step: StepRecord, attempt: number): void {
    const earlier = this.attempts.get(step)
    if (!step.specification.gang || earlier?.attempt === attempt) return
    this.attempts.set(step, {
      attempt,
      state: 'starting',
      firstSentAt: Infinity,
      overdueCount: earlier?.overdueCount ?? 0,
      retryAt: -Infinity
    })
  }

  /**
   * Records that the start of a member is sent.
   * @param run The run.
   * @param now The monotonic time.
   */
  recordSend (run: RunRecord, now: number): void {
    const current = this.getCurrent(run)
    if (current !== undefined) current.firstSentAt = Math.min(current.firstSentAt, now)
  }

  /**
   * Returns whether the start of a member may still complete its attempt.
   * @param run The run.
   * @param now The monotonic time.
   * @returns False once the attempt was given up, and when its time is over.
   */
  mayComplete (run: RunRecord, now: number): boolean {
    const current = this.getCurrent(run)
    return current?.state === 'starting' && !this.isOverdue(current, now)
  }

  /**
   * Returns the attempts that are not complete although their time is over; those that are complete are remembered as
   * such, and those of ended gangs are forgotten.
   * @param now The monotonic time.
   * @returns The attempts to give up.
   */
  takeOverdue (now: number): Array<{ step: StepRecord, attempt: number }> {
    const overdue: Array<{ step: StepRecord, attempt: number }> = []
    for (const [step, current] of this.attempts) {
      if (isOver(step)) {
        this.attempts.delete(step)
        continue
      }
      if (current.state !== 'starting' || !this.isOverdue(current, now)) continue
      if (hasStarted(step, current.attempt)) markComplete(current)
      else overdue.push({ step, attempt: current.attempt })
    }
    return overdue
  }

  /**
   * Records that an attempt is given up, unless all members had started.
   * @param step The step of the gang.
   * @param attempt The number of the attempt.
   * @param now The monotonic time.
   * @param endedRun The run whose end is the cause, if it is known.
   * @returns The pause before the next attempt in milliseconds, or null when the attempt is not being started.
   */
  abandon (step: StepRecord, attempt: number, now: number, endedRun?: RunRecord): number | null {
    const current = this.attempts.get(step)
    if (current?.attempt !== attempt || current.state !== 'starting' || isOver(step)) return null
    if (hasStarted(step, attempt, endedRun)) {
      markComplete(current)
      return null
    }
    current.state = 'abandoned'
    // Starts that were sent in time may have lost their responses, and the next attempt avoids their workers.
    if (!this.isOverdue(current, now) || !hasUnsent(step, attempt, endedRun)) return 0
    const pause = current.overdueCount === 0
      ? 0
      : Math.min(LONGEST_PAUSE_MILLISECONDS, FIRST_PAUSE_MILLISECONDS * 2 ** (current.overdueCount - 1))
    current.overdueCount++
    current.retryAt = now + pause
    return pause
  }

  private isOverdue ({ firstSentAt }: GangAttempt, now: number): boolean {
    return now >= firstSentAt + this.sendMilliseconds
  }

  private getCurrent ({ task: { step }, attempt }: RunRecord): GangAttempt | undefined {
    const current = this.attempts.get(step)
    return current?.attempt === attempt ? current : undefined
  }
}

/** Returns whether the start of a member of an attempt was not sent, also of one that was withdrawn. */
function hasUnsent ({ tasks }: StepRecord, attempt: number, endedRun?: RunRecord): boolean {
  if (endedRun !== undefined && !isSent(endedRun)) return true
  for (const { runs } of tasks.getAllCreated()) {
    if (runs.some(run => run.attempt === attempt && !isSent(run))) return true
  }
  return false
}

/** Returns whether a gang is done, or its job has ended. */
function isOver ({ tasks, occurrence: { job } }: StepRecord): boolean {
  return job.finalState !== null || tasks.remainingCount < tasks.count
}

function markComplete (attempt: GangAttempt): void {
  attempt.state = 'complete'
  attempt.overdueCount = 0
}

/** Returns whether all members of an attempt, also one that has ended, have started; they make progress only then. */
function hasStarted ({ tasks }: StepRecord, attempt: number, endedRun?: RunRecord): boolean {
  let startedCount = endedRun !== undefined && endedRun.confirmedAt !== null ? 1 : 0
  for (const { runs } of tasks.getAllCreated()) {
    for (const run of runs) {
      if (run.attempt !== attempt || run === endedRun) continue
      if (run.percent > 0) return true
      if (run.confirmedAt !== null && run.state === 'running') startedCount++
    }
  }
  return startedCount === tasks.count
}
