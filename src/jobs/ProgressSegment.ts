import type { JobRecord, StepRecord, TaskRecord } from './JobRecord.js'

/**
 * The tasks of one segment. With identifiers of the greatest length, the assignments of so many tasks fit in one row of
 * the store; only long checkpoints or many failed attempts need further rows.
 */
export const TASKS_PER_SEGMENT = 128

/**
 * A part of a job's progress that is stored by itself, so that the progress of a job may exceed a row of the store and
 * the end of a task writes little. All tasks of a job are numbered, those of its first occurrence first; each segment
 * has `TASKS_PER_SEGMENT` consecutive numbers. The first segment also has the final state.
 */
export interface ProgressSegment {
  job: JobRecord
  /** The index of the segment, from 0. */
  index: number
  /** Whether the store has a row of the segment. */
  isStored: boolean
}

/**
 * Returns a segment of a job.
 * @param job The job.
 * @param index The index of the segment.
 * @returns The segment, the same object for each call.
 */
export function getProgressSegment (job: JobRecord, index: number): ProgressSegment {
  const existing = job.progressSegments.get(index)
  if (existing !== undefined) return existing
  const segment: ProgressSegment = { job, index, isStored: false }
  job.progressSegments.set(index, segment)
  return segment
}

/**
 * Returns the segment that holds the progress of a task.
 * @param task The task.
 * @returns The segment.
 */
export function getTaskSegment (task: TaskRecord): ProgressSegment {
  const { step } = task
  return getProgressSegment(step.occurrence.job, getSegmentIndex(step, task.index))
}

/**
 * Returns the index of the segment that holds the progress of a task.
 * @param step The step.
 * @param taskIndex The index of the task in its step.
 * @returns The index of the segment.
 */
export function getSegmentIndex (step: StepRecord, taskIndex: number): number {
  return Math.floor((step.firstTaskNumber + taskIndex) / TASKS_PER_SEGMENT)
}

/**
 * Returns the segment that holds whether an occurrence is done, which is that of its first task.
 * @param job The job.
 * @param occurrenceNumber The number of the occurrence.
 * @returns The segment.
 */
export function getOccurrenceSegment (job: JobRecord, occurrenceNumber: number): ProgressSegment {
  const firstTaskNumber = occurrenceNumber * getOccurrenceTaskCount(job)
  return getProgressSegment(job, Math.floor(firstTaskNumber / TASKS_PER_SEGMENT))
}

/**
 * Returns the index of the last segment with tasks of an occurrence.
 * @param job The job.
 * @param occurrenceNumber The number of the occurrence.
 * @returns The index of the segment.
 */
export function getLastSegmentIndex (job: JobRecord, occurrenceNumber: number): number {
  return Math.floor(((occurrenceNumber + 1) * getOccurrenceTaskCount(job) - 1) / TASKS_PER_SEGMENT)
}

/**
 * Returns by how much the task numbers of an occurrence exceed those of the one before.
 * @param job The job.
 * @returns The number of tasks of an occurrence; 1 for one without tasks.
 */
export function getOccurrenceTaskCount (job: JobRecord): number {
  return Math.max(1, job.submission.specification.steps.reduce((sum, step) => sum + step.taskCount, 0))
}
