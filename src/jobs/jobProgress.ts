import type { JsonValue } from '../shared/JsonValue.js'
import {
  createOccurrence, getOccurrenceCount, hasLongRunningStep, type JobRecord, type OccurrenceRecord
} from './JobRecord.js'
import type { FinalJobState } from './JobSpecification.js'

/** 90 rows with this many assignments fit into one transaction of the store, of at most 1 MB. */
const STORED_ASSIGNMENT_LIMIT = 200

/** The durable progress of a job, stored beside its submission. Names are short because writes are billed by byte. */
export interface JobProgressRow {
  /** The final state; absent while the job is live. */
  state?: FinalJobState
  /** The time of day at which the final state was reached, by which old rows are removed. */
  at?: number
  /** The numbers of the occurrences that are done. */
  finished?: number[]
  /** The indexes of done tasks by `occurrence.step`. */
  done?: Record<string, number[]>
  /** The failed attempts by `occurrence.step.index`. */
  failures?: Record<string, number[]>
  /** The latest checkpoint by `occurrence.step.index`. */
  checkpoints?: Record<string, string>
  /**
   * The workers of the latest starts of long-running tasks by `occurrence.step.index`, without the tasks that no owner
   * has started; `unknown` when some runs may be on any worker.
   */
  assigned?: Record<string, string> | 'unknown'
}

/**
 * Encodes the progress of a job.
 * @param job The job.
 * @param wallMilliseconds The time of day, stored with a final state.
 * @returns The row.
 */
export function encodeProgress (job: JobRecord, wallMilliseconds: number): JobProgressRow {
  if (job.finalState !== null) return { state: job.finalState, at: Math.round(wallMilliseconds) }
  const row: JobProgressRow = {}
  const assigned = encodeAssignments(job)
  if (assigned !== null) row.assigned = assigned
  if (job.finishedOccurrences.size > 0) row.finished = [...job.finishedOccurrences]
  for (const occurrence of job.occurrences.values()) {
    for (const step of occurrence.steps) {
      const prefix = `${occurrence.number}.${step.index}`
      if (step.doneCount > 0) {
        row.done = { ...row.done, [prefix]: step.tasks.filter(task => task.done).map(task => task.index) }
      }
      for (const task of step.tasks) {
        if (task.done) continue
        if (task.failedAttempts.size > 0) {
          row.failures = { ...row.failures, [`${prefix}.${task.index}`]: [...task.failedAttempts] }
        }
        if (task.checkpoint !== '') {
          row.checkpoints = { ...row.checkpoints, [`${prefix}.${task.index}`]: task.checkpoint }
        }
      }
    }
  }
  return row
}

function encodeAssignments (job: JobRecord): Record<string, string> | 'unknown' | null {
  if (!hasLongRunningStep(job)) return null
  if (job.recovered && !job.hasStoredAssignments) return 'unknown'
  const assigned = [...job.occurrences.values()].flatMap(({ number, steps }) => steps.flatMap(step =>
    step.tasks.flatMap(({ index, assignedWorkerId }) =>
      assignedWorkerId === null ? [] : [[`${number}.${step.index}.${index}`, assignedWorkerId]])))
  if (assigned.length > STORED_ASSIGNMENT_LIMIT) return 'unknown'
  return assigned.length === 0 ? null : Object.fromEntries(assigned)
}

/**
 * Decodes a progress row.
 * @param value The value of the row.
 * @returns The progress, which is empty when the value is not an object.
 */
export function decodeProgress (value: JsonValue): JobProgressRow {
  return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as JobProgressRow : {}
}

/**
 * Applies stored progress to a job that was just loaded.
 * @param job The job, without occurrences.
 * @param row The stored progress.
 * @param firstAttempt The number of the first attempt of each task under this owner.
 * @param now The monotonic time.
 */
export function restoreProgress (job: JobRecord, row: JobProgressRow, firstAttempt: number, now: number): void {
  if (row.state !== undefined) {
    job.finalState = row.state
    return
  }
  if (row.assigned === 'unknown') job.hasStoredAssignments = false
  for (const number of row.finished ?? []) job.finishedOccurrences.add(number)
  for (const [prefix, indexes] of Object.entries(row.done ?? {})) {
    for (const index of indexes) markDone(job, `${prefix}.${index}`, firstAttempt, now)
  }
  for (const [suffix, attempts] of Object.entries(row.failures ?? {})) {
    const task = findTask(job, suffix, firstAttempt, now)
    for (const attempt of attempts) task?.failedAttempts.add(attempt)
  }
  for (const [suffix, checkpoint] of Object.entries(row.checkpoints ?? {})) {
    const task = findTask(job, suffix, firstAttempt, now)
    if (task !== undefined) task.checkpoint = checkpoint
  }
  if (job.hasStoredAssignments) restoreAssignments(job, row.assigned, firstAttempt, now)
}

/**
 * Returns an occurrence of a job and creates its tasks on first use.
 * @param job The job.
 * @param number The number of the occurrence.
 * @param firstAttempt The number of the first attempt of each task.
 * @param now The monotonic time.
 * @returns The occurrence, or undefined when the number is out of range or the occurrence is done.
 */
export function getOccurrence (
  job: JobRecord, number: number, firstAttempt: number, now: number
): OccurrenceRecord | undefined {
  const isPossible = number >= 0 && number < getOccurrenceCount(job.submission)
  if (!isPossible || job.finishedOccurrences.has(number)) return undefined
  const existing = job.occurrences.get(number)
  if (existing !== undefined) return existing
  const occurrence = createOccurrence(job, number, firstAttempt, now)
  job.occurrences.set(number, occurrence)
  return occurrence
}

/**
 * Finds a task by the part of its name that follows the job ID.
 * @param job The job.
 * @param suffix `occurrence.step.index`.
 * @param firstAttempt The number of the first attempt of each task.
 * @param now The monotonic time.
 * @returns The task, or undefined when the job has no such task.
 */
export function findTask (job: JobRecord, suffix: string, firstAttempt: number, now: number) {
  const [occurrence, step, index] = suffix.split('.').map(Number)
  return getOccurrence(job, occurrence, firstAttempt, now)?.steps[step]?.tasks[index]
}

function restoreAssignments (
  job: JobRecord, assigned: JobProgressRow['assigned'], firstAttempt: number, now: number
): void {
  if (assigned === undefined || assigned === 'unknown') return
  for (const [suffix, workerId] of Object.entries(assigned)) {
    const task = findTask(job, suffix, firstAttempt, now)
    if (task === undefined) continue
    task.assignedWorkerId = workerId
    task.hasRun = true
  }
}

function markDone (job: JobRecord, suffix: string, firstAttempt: number, now: number): void {
  const task = findTask(job, suffix, firstAttempt, now)
  if (task === undefined || task.done) return
  task.done = true
  task.step.doneCount++
  task.step.occurrence.doneCount++
}
