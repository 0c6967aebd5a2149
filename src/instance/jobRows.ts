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
/** A slow store takes few transactions a second in one partition; jobs that come must not hold the owner's up. */
const JOB_PARTITIONS = [...'0123456789abcdef'].map(digit => `jobs-${digit}`)
const OWNER_PARTITION = 'owner'

/**
 * Returns the partition of a row; the rows of one transaction share it.
 * @param table The table.
 * @param key The key.
 * @returns The partition.
 */
export function getPartition (table: string, key: string): string {
  return table === JOB_TABLE ? `jobs-${key[0]}` : OWNER_PARTITION
}

/**
 * Returns all partitions of a table.
 * @param table The table.
 * @returns The partitions.
 */
export function getPartitions (table: string): string[] {
  return table === JOB_TABLE ? JOB_PARTITIONS : [OWNER_PARTITION]
}

/** The value of the row of a job that has a durable final state; the row stays, so that copies remain one job. */
export const FINISHED_JOB_VALUE = {}

/** Returns the key of the row that asks to cancel a job. */
export function getCancelKey (jobId: string): string {
  return `${jobId}${CANCEL_SUFFIX}`
}

/**
 * Tells which job a row of the job table asks to cancel.
 * @param key The key of the row.
 * @returns The job, or null when the row is a submission.
 */
export function getCancelledJobId (key: string): string | null {
  return key.endsWith(CANCEL_SUFFIX) ? key.slice(0, -CANCEL_SUFFIX.length) : null
}

/**
 * Tells whether a row of the job table is that of a finished job.
 * @param value The value of the row.
 * @returns Whether it is.
 */
export function isFinishedJob (value: JsonValue): boolean {
  return typeof value === 'object' && value !== null && Object.keys(value).length === 0
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
