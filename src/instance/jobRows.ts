import type { UnreachedRecord, WorkerEntry } from '../dispatch/index.js'
import {
  hasValidTaskCount, shareStepSpecifications, type JobSubmission, type StepSpecification
} from '../jobs/index.js'
import type { JsonValue } from '../shared/JsonValue.js'

/** The accepted jobs by identifier, and the requests to cancel them. */
export const JOB_TABLE = 'jobs'
/** The progress of each job and its final state. */
export const PROGRESS_TABLE = 'progress'
/** The workers that may run tasks of the shard. */
export const HOLDING_TABLE = 'holding'
/** The interference that the owner has learned, for the next owner. */
export const LEARNED_TABLE = 'learned'
/** The head row of the progress table, whose version orders the progress writes. */
export const PROGRESS_HEAD_TABLE = 'progress-heads'

/** The workers that the owner does not reach, each with the time until its leases have expired, for the next owner. */
export const UNREACHED_TABLE = 'unreached'

const CANCEL_SUFFIX = '.cancel'
const PART_SUFFIX = '.part.'
/**
 * The partitions of the job table, apart from the owner's: a slow store handles few transactions a second in one, and
 * submissions must not delay the owner's writes.
 */
const JOB_PARTITIONS = [...'0123456789abcdef'].map(digit => `jobs-${digit}`)
const OWNER_PARTITION = 'owner'

/**
 * Returns the partition of a row; all rows of a transaction must be in the same partition.
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

/** The value of the row of a finished job; the row stays, so that a late copy of its submission starts no new job. */
export const FINISHED_JOB_VALUE = {}

/**
 * Creates the value of the row of a job that was refused because of the load. It keeps writes of earlier copies of the
 * submission from being stored; a later request replaces it.
 * @param wallMilliseconds The time of day of the refusal.
 * @returns The value.
 */
export function createRefusedJobValue (wallMilliseconds: number): JsonValue {
  return { refusedAtMilliseconds: Math.round(wallMilliseconds) }
}

/**
 * Returns when a job was refused because of the load.
 * @param value The value of a row of the job table.
 * @returns The time of day in milliseconds, or null when the row is of another kind.
 */
export function getRefusalTime (value: JsonValue): number | null {
  return getNumber(getFields(value).refusedAtMilliseconds)
}

/** Returns the key of the row that requests the cancellation of a job. */
export function getCancelKey (jobId: string): string {
  return `${jobId}${CANCEL_SUFFIX}`
}

/**
 * Returns the job whose cancellation a row of the job table requests.
 * @param key The key of the row.
 * @returns The identifier of the job, or null when the row is a submission.
 */
export function getCancelledJobId (key: string): string | null {
  return key.endsWith(CANCEL_SUFFIX) ? key.slice(0, -CANCEL_SUFFIX.length) : null
}

/**
 * Returns the key of a row of a submission that exceeds a row of the store.
 * @param jobId The job.
 * @param part The index of the row.
 * @returns The key, which is the identifier of the job for the first row.
 */
export function getSubmissionPartKey (jobId: string, part: number): string {
  return part === 0 ? jobId : `${jobId}${PART_SUFFIX}${part}`
}

/**
 * Returns the submission to which a further row of the job table belongs.
 * @param key The key of the row.
 * @returns The job and the index of the row, or null for the first row of a submission or another row.
 */
export function getSubmissionPartOf (key: string): { jobId: string, part: number } | null {
  const position = key.indexOf(PART_SUFFIX)
  if (position < 0) return null
  return { jobId: key.slice(0, position), part: Number(key.slice(position + PART_SUFFIX.length)) }
}

/**
 * Returns whether a row of the job table belongs to a job that does not run any more.
 * @param value The value of the row.
 * @returns Whether the row is the emptied row of a finished job, or that of a refused one.
 */
export function isFinishedJob (value: JsonValue): boolean {
  if (getRefusalTime(value) !== null) return true
  return typeof value === 'object' && value !== null && Object.keys(value).length === 0
}

/**
 * Returns the client account of a job.
 * @param value The value of the first row of its submission.
 * @returns The name, or undefined when the job has none, or has ended.
 */
export function getAccountName (value: JsonValue): string | undefined {
  const { accountName } = getFields(value)
  return typeof accountName === 'string' ? accountName : undefined
}

/** Encodes a submission as a row. */
export function encodeSubmission (submission: JobSubmission): JsonValue {
  return submission as unknown as JsonValue
}

/**
 * Decodes a row of the job table.
 * @param value The value of the row.
 * @returns The submission, or null when the row is invalid.
 */
export function decodeSubmission (value: JsonValue): JobSubmission | null {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return null
  const submission = value as unknown as Partial<JobSubmission>
  const steps = submission.specification?.steps
  const isComplete = typeof submission.jobId === 'string' && Array.isArray(steps) && steps.every(isCompleteStep)
  if (!isComplete || !hasValidTaskCount(submission.specification!)) return null
  submission.specification!.steps = shareStepSpecifications(steps)
  return submission as JobSubmission
}

/** Returns whether a stored step has the structure that planning relies on. */
function isCompleteStep (step: Partial<StepSpecification> | null): boolean {
  return typeof step === 'object' && step !== null && Array.isArray(step.afterSteps)
}

/**
 * Decodes a row of the holding table. Earlier versions of the program stored entries that are no longer accepted; tasks
 * may run on each of these workers, so that a row always names one.
 * @param key The key of the row, which is the worker's identifier.
 * @param value The value of the row.
 * @returns The worker; malformed fields are empty, and calls to an empty address fail.
 */
export function decodeHeldWorker (key: string, value: JsonValue): WorkerEntry {
  const fields = getFields(value)
  const capacity = getFields(fields.capacity)
  return {
    workerId: key,
    serviceName: getText(fields.serviceName),
    address: getText(fields.address),
    dataCentre: getText(fields.dataCentre),
    state: fields.state === 'ready' ? 'ready' : 'draining',
    labels: Array.isArray(fields.labels) ? fields.labels.filter(label => typeof label === 'string') : [],
    capacity: {
      processorsMilli: getNumber(capacity.processorsMilli) ?? 0,
      memoryMegabytes: getNumber(capacity.memoryMegabytes) ?? 0,
      accelerators: getNumber(capacity.accelerators) ?? 0
    },
    bornAtMilliseconds: getNumber(fields.bornAtMilliseconds) ?? 0,
    remainingMilliseconds: getNumber(fields.remainingMilliseconds)
  }
}

/**
 * Decodes the rows of unreached workers.
 * @param values The values of the rows.
 * @returns The milliseconds until the leases have expired, by worker; entries that are no numbers are infinite.
 */
export function decodeUnreachedRecord (values: readonly JsonValue[]): UnreachedRecord {
  const record: UnreachedRecord = Object.create(null)
  for (const [workerId, remaining] of values.flatMap(value => Object.entries(getFields(value)))) {
    record[workerId] = getNumber(remaining) ?? Infinity
  }
  return record
}

function getFields (value: JsonValue | undefined): Record<string, JsonValue | undefined> {
  return typeof value === 'object' && value !== null && !Array.isArray(value) ? value : {}
}

function getText (value: JsonValue | undefined): string {
  return typeof value === 'string' ? value : ''
}

function getNumber (value: JsonValue | undefined): number | null {
  return typeof value === 'number' && Number.isFinite(value) ? value : null
}
