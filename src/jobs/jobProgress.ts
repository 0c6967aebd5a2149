import type { JsonValue } from '../shared/JsonValue.js'
import { createOccurrence, getOccurrenceCount, type JobRecord, type OccurrenceRecord } from './JobRecord.js'
import type { FinalJobState } from './JobSpecification.js'

/** What is durable of a job beside its submission; names are short because each byte written is billed. */
export interface JobProgressRow {
  /** The final state, absent while the job is live. */
  state?: FinalJobState
  /** The time of day of the final state, for the removal of old rows. */
  at?: number
  /** Numbers of the occurrences that are done. */
  finished?: number[]
  /** The indexes of done tasks by `occurrence.step`. */
  done?: Record<string, number[]>
  /** The attempts that failed by `occurrence.step.index`. */
  failures?: Record<string, number[]>
  /** The newest checkpoint by `occurrence.step.index`. */
  checkpoints?: Record<string, string>
}

/**
 * Encodes the progress of a job.
 * @param job The job.
 * @param wallMilliseconds The time of day, kept with a final state.
 * @returns The row.
 */
export function encodeProgress (job: JobRecord, wallMilliseconds: number): JobProgressRow {
  if (job.finalState !== null) return { state: job.finalState, at: Math.round(wallMilliseconds) }
  const row: JobProgressRow = {}
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

/**
 * Decodes a progress row.
 * @param value The value of the row.
 * @returns The progress; an empty one when the value is not an object.
 */
export function decodeProgress (value: JsonValue): JobProgressRow {
  return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as JobProgressRow : {}
}

/**
 * Applies durable progress to a job that was just loaded.
 * @param job The job, with no occurrences yet.
 * @param row The durable progress.
 * @param firstAttempt The number of the first start of each task by this owner.
 * @param now The monotonic time.
 */
export function restoreProgress (job: JobRecord, row: JobProgressRow, firstAttempt: number, now: number): void {
  if (row.state !== undefined) {
    job.finalState = row.state
    return
  }
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
}

/**
 * Returns the occurrence of a job, creating its tasks on first use.
 * @param job The job.
 * @param number The number of the occurrence.
 * @param firstAttempt The number of the first start of each task.
 * @param now The monotonic time.
 * @returns The occurrence, or undefined when the job has no such occurrence or it is finished.
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
 * Finds a task by the part of its name behind the job's identifier.
 * @param job The job.
 * @param suffix `occurrence.step.index`.
 * @param firstAttempt The number of the first start of each task.
 * @param now The monotonic time.
 * @returns The task, or undefined when the job has no such task.
 */
export function findTask (job: JobRecord, suffix: string, firstAttempt: number, now: number) {
  const [occurrence, step, index] = suffix.split('.').map(Number)
  return getOccurrence(job, occurrence, firstAttempt, now)?.steps[step]?.tasks[index]
}

function markDone (job: JobRecord, suffix: string, firstAttempt: number, now: number): void {
  const task = findTask(job, suffix, firstAttempt, now)
  if (task === undefined || task.done) return
  task.done = true
  task.step.doneCount++
  task.step.occurrence.doneCount++
}
