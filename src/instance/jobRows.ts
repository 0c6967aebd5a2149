import type { JobSubmission } from '../jobs/index.js'
import type { JsonValue } from '../shared/JsonValue.js'

/** Accepted jobs by identifier, and beside them the requests to cancel them. */
export const JOB_TABLE = 'jobs'
/** What is done of each job, and its final state. */
export const PROGRESS_TABLE = 'progress'
/** Workers that may hold tasks of this shard. */
export const HOLDING_TABLE = 'holding'
/** What the owner learned of interference, for the next owner. */
export const LEARNED_TABLE = 'learned'
/** The head of the progress writes, which orders them. */
export const PROGRESS_HEAD_TABLE = 'progress-heads'

const CANCEL_SUFFIX = '.cancel'

/** Returns the key of the row that asks to cancel a job. */
export function getCancelKey (jobId: string): string {
  return `${jobId}${CANCEL_SUFFIX}`
}

/**
 * Tells which job a row of the job table asks to cancel.
 * @param key The key of the row.
 * @returns The job, or null when the row is a submission.
 */
export function getCancelledJob (key: string): string | null {
  return key.endsWith(CANCEL_SUFFIX) ? key.slice(0, -CANCEL_SUFFIX.length) : null
}

/** Encodes a submission as a row. */
export function encodeSubmission (submission: JobSubmission): JsonValue {
  return submission as unknown as JsonValue
}

/**
 * Decodes a row of the job table.
 * @param value The value of the row.
 * @returns The submission, or null when the row has another form.
 */
export function decodeSubmission (value: JsonValue): JobSubmission | null {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return null
  const submission = value as unknown as Partial<JobSubmission>
  const isComplete = typeof submission.jobId === 'string' && Array.isArray(submission.specification?.steps)
  return isComplete ? submission as JobSubmission : null
}
