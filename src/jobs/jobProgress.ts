import type { JsonValue } from '../shared/JsonValue.js'
import {
  createOccurrence, getOccurrenceCount, hasLongRunningStep, type JobRecord, type OccurrenceRecord, type StepRecord
} from './JobRecord.js'
import type { FinalJobState, StepSpecification } from './JobSpecification.js'
import {
  getOccurrenceSegment, getOccurrenceTaskCount, getProgressSegment, getSegmentIndex, TASKS_PER_SEGMENT,
  type ProgressSegment
} from './ProgressSegment.js'

/**
 * The durable progress of a segment of a job, stored beside its submission. Names are short because writes are billed
 * by byte. A segment that exceeds a row of the store has several of these, each with a part of the entries.
 */
export interface JobProgressRow {
  /** The final state; absent while the job is live. */
  state?: FinalJobState
  /** The time of day at which the final state was reached, by which old rows are removed. */
  at?: number
  /** The client account of a job with a final state, if it has one. */
  account?: string
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

/** A row of the progress of a job as it is stored. */
export interface StoredProgressRow {
  /** The key, see `getProgressKey`. */
  key: string
  version: number
  value: JsonValue
}

/**
 * Returns the key of a row of the progress of a job.
 * @param jobId The job.
 * @param segmentIndex The index of the segment.
 * @param part The index of the row among those of the segment.
 * @returns The key, which is the identifier of the job for the first row of the first segment.
 */
export function getProgressKey (jobId: string, segmentIndex: number, part: number): string {
  if (part > 0) return `${jobId}.${segmentIndex}.${part}`
  return segmentIndex > 0 ? `${jobId}.${segmentIndex}` : jobId
}

/**
 * Decodes the key of a row of the progress of a job.
 * @param key The key.
 * @returns The job and the index of the segment, which is NaN for a malformed key.
 */
export function decodeProgressKey (key: string): { jobId: string, segmentIndex: number } {
  const [jobId, segmentIndex = '0'] = key.split('.')
  return { jobId, segmentIndex: Number(segmentIndex) }
}

/**
 * Encodes the progress of a segment of a job.
 * @param segment The segment.
 * @param wallMilliseconds The time of day, stored with a final state.
 * @returns The row, which `splitProgressRow` divides when it is too large.
 */
export function encodeProgress (segment: ProgressSegment, wallMilliseconds: number): JobProgressRow {
  const { job } = segment
  const { accountName } = job.submission
  if (job.finalState !== null) {
    return {
      state: job.finalState,
      at: Math.round(wallMilliseconds),
      ...accountName !== undefined && { account: accountName }
    }
  }
  const done: Record<string, number[]> = {}
  const failures: Record<string, number[]> = {}
  const checkpoints: Record<string, string> = {}
  const assigned: Record<string, string> = {}
  for (const { step, start, end } of getSegmentSteps(segment)) {
    const prefix = `${step.occurrence.number}.${step.index}`
    const doneIndexes: number[] = []
    for (let index = start; index < end; index++) {
      if (step.tasks.isDone(index)) {
        doneIndexes.push(index)
        continue
      }
      const task = step.tasks.getCreated(index)
      if (task === undefined) continue
      const suffix = `${prefix}.${index}`
      if (task.assignedWorkerId !== null) assigned[suffix] = task.assignedWorkerId
      if (task.failedAttempts.size > 0) failures[suffix] = [...task.failedAttempts]
      if (task.checkpoint !== '') checkpoints[suffix] = task.checkpoint
    }
    if (doneIndexes.length > 0) done[prefix] = doneIndexes
  }
  const isUnknown = hasLongRunningStep(job) && job.recovered && !job.hasStoredAssignments
  const finished = getFinishedOccurrences(segment)
  return {
    ...isUnknown ? { assigned: 'unknown' } : hasEntries(assigned) && { assigned },
    ...finished.length > 0 && { finished },
    ...hasEntries(done) && { done },
    ...hasEntries(failures) && { failures },
    ...hasEntries(checkpoints) && { checkpoints }
  }
}

function hasEntries (record: object): boolean {
  return Object.keys(record).length > 0
}

/** The tasks of a step that are in a segment. */
interface SegmentStep {
  step: StepRecord
  /** The index of the first task. */
  start: number
  /** The index after that of the last task. */
  end: number
}

/** Returns the steps with tasks in a segment whose occurrences are created and not done. */
function getSegmentSteps ({ job, index }: ProgressSegment): SegmentStep[] {
  const segmentStart = index * TASKS_PER_SEGMENT
  const segmentEnd = segmentStart + TASKS_PER_SEGMENT
  const occurrenceTaskCount = getOccurrenceTaskCount(job)
  const lastOccurrence = Math.floor((segmentEnd - 1) / occurrenceTaskCount)
  const found: SegmentStep[] = []
  for (let number = Math.floor(segmentStart / occurrenceTaskCount); number <= lastOccurrence; number++) {
    for (const step of job.occurrences.get(number)?.steps ?? []) {
      const start = Math.max(0, segmentStart - step.firstTaskNumber)
      const end = Math.min(step.tasks.count, segmentEnd - step.firstTaskNumber)
      if (start < end) found.push({ step, start, end })
    }
  }
  return found
}

/** Returns the done occurrences whose first task is in a segment. */
function getFinishedOccurrences ({ job, index }: ProgressSegment): number[] {
  if (job.finishedOccurrences.size === 0) return []
  const occurrenceTaskCount = getOccurrenceTaskCount(job)
  const finished: number[] = []
  const first = Math.ceil(index * TASKS_PER_SEGMENT / occurrenceTaskCount)
  for (let number = first; number * occurrenceTaskCount < (index + 1) * TASKS_PER_SEGMENT; number++) {
    if (job.finishedOccurrences.has(number)) finished.push(number)
  }
  return finished
}

/** The fields of a row that hold entries by task, which may be in different rows. */
const DIVISIBLE_FIELDS = ['assigned', 'done', 'failures', 'checkpoints'] as const
/** The bytes of a field and of an entry in JSON beside the key and the value of the entry. */
const FIELD_BYTES = 24
const ENTRY_BYTES = 4

/** A row that the store accepts, with its size, so that it need not be encoded again to be measured. */
export interface SizedProgressRow {
  row: JobProgressRow
  /** The bytes of the row in JSON. */
  bytes: number
}

/**
 * Divides the progress of a segment into rows that the store accepts.
 * @param row The progress.
 * @param byteLimit The maximum number of bytes of a row in JSON.
 * @returns At least one row, and the keys of the entries that exceed a row by themselves, which are in no row.
 */
export function splitProgressRow (
  row: JobProgressRow, byteLimit: number
): { rows: SizedProgressRow[], omitted: string[] } {
  const wholeBytes = getJsonBytes(row)
  if (wholeBytes <= byteLimit) return { rows: [{ row, bytes: wholeBytes }], omitted: [] }
  const omitted: string[] = []
  let current: Record<string, JsonValue> = {}
  const rows: Array<Record<string, JsonValue>> = [current]
  const fieldBytes = FIELD_BYTES * DIVISIBLE_FIELDS.length
  let currentBytes = fieldBytes
  for (const [name, value] of Object.entries(row)) {
    if (DIVISIBLE_FIELDS.some(field => field === name) && typeof value === 'object') continue
    current[name] = value
    currentBytes += getJsonBytes(value) + FIELD_BYTES
  }
  for (const field of DIVISIBLE_FIELDS) {
    const entries = row[field]
    if (typeof entries !== 'object') continue
    for (const [key, value] of Object.entries(entries)) {
      const bytes = getJsonBytes(key) + getJsonBytes(value) + ENTRY_BYTES
      if (bytes + fieldBytes > byteLimit) {
        omitted.push(`${field}.${key}`)
        continue
      }
      if (currentBytes + bytes > byteLimit) {
        current = {}
        currentBytes = fieldBytes
        rows.push(current)
      }
      current[field] ??= {}
      const target = current[field] as Record<string, JsonValue>
      target[key] = value
      currentBytes += bytes
    }
  }
  return { rows: rows.map(part => ({ row: part, bytes: getJsonBytes(part) })), omitted }
}

function getJsonBytes (value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value))
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
 * Applies stored progress to a job that was just loaded. A later row replaces the checkpoints and assignments of an
 * earlier one, which remains in the store when a segment no longer needs as many rows.
 * @param job The job, without occurrences.
 * @param stored The stored rows.
 * @param firstAttempt The number of the first attempt of each task under this owner.
 * @param now The monotonic time.
 * @param mayStart Returns whether this owner starts the tasks of a step. Others get no records, so that their number
 * costs it no memory; all steps by default.
 * @returns The segments that must be stored before the first one, because another row holds their progress.
 */
export function restoreProgress (
  job: JobRecord, stored: readonly StoredProgressRow[], firstAttempt: number, now: number,
  mayStart: (step: StepSpecification) => boolean = () => true
): Set<ProgressSegment> {
  const rows = [...stored].sort((left, right) => left.version - right.version).map(({ key, value }) =>
    ({ key, segmentIndex: decodeProgressKey(key).segmentIndex, row: decodeProgress(value) }))
  const moved = new Set<ProgressSegment>()
  for (const { key, segmentIndex, row } of rows) {
    if (key !== job.submission.jobId) job.furtherProgressKeys.add(key)
    if (row.state !== undefined) job.finalState = row.state
    if (row.assigned === 'unknown') job.hasStoredAssignments = false
    if (hasStartedTask(row)) job.hasStarted = true
    const segment = getProgressSegment(job, segmentIndex)
    segment.isStored = true
    for (const number of row.finished ?? []) {
      job.finishedOccurrences.add(number)
      if (getOccurrenceSegment(job, number) !== segment) moved.add(getOccurrenceSegment(job, number))
    }
  }
  if (job.finalState !== null) return new Set()
  for (const { segmentIndex, row } of rows) {
    for (const index of restoreRow(job, row, { firstAttempt, now, mayStart })) {
      if (index !== segmentIndex) moved.add(getProgressSegment(job, index))
    }
  }
  return moved
}

/** Returns whether a row shows that a task has run; an assignment is stored before the start. */
function hasStartedTask ({ finished = [], done = {}, failures = {}, checkpoints = {} }: JobProgressRow): boolean {
  return finished.length > 0 || hasEntries(done) || hasEntries(failures) || hasEntries(checkpoints)
}

/** How the tasks of a loaded job are restored, see `restoreProgress`. */
interface RestoreContext {
  firstAttempt: number
  now: number
  mayStart (step: StepSpecification): boolean
}

/** Applies one row to the tasks of a job and returns the indexes of the segments of these tasks. */
function restoreRow (
  job: JobRecord, row: JobProgressRow, { firstAttempt, now, mayStart }: RestoreContext
): Set<number> {
  const segmentIndexes = new Set<number>()
  const { steps } = job.submission.specification
  const find = (suffix: string) => {
    const step = steps[Number(suffix.split('.')[1])]
    if (step === undefined || !mayStart(step)) return undefined
    const task = findTask(job, suffix, firstAttempt, now)
    if (task !== undefined) segmentIndexes.add(getSegmentIndex(task.step, task.index))
    return task
  }
  for (const [prefix, indexes] of Object.entries(row.done ?? {})) {
    const [number, stepIndex] = prefix.split('.').map(Number)
    const step = getOccurrence(job, number, firstAttempt, now)?.steps[stepIndex]
    if (step === undefined) continue
    for (const index of indexes) {
      if (index < 0 || index >= step.tasks.count) continue
      step.tasks.markDone(index)
      segmentIndexes.add(getSegmentIndex(step, index))
    }
  }
  for (const [suffix, attempts] of Object.entries(row.failures ?? {})) {
    const task = find(suffix)
    for (const attempt of attempts) task?.failedAttempts.add(attempt)
  }
  for (const [suffix, checkpoint] of Object.entries(row.checkpoints ?? {})) {
    const task = find(suffix)
    if (task !== undefined) task.checkpoint = checkpoint
  }
  if (!job.hasStoredAssignments || row.assigned === undefined || row.assigned === 'unknown') return segmentIndexes
  for (const [suffix, workerId] of Object.entries(row.assigned)) {
    const task = find(suffix)
    if (task === undefined) continue
    task.assignedWorkerId = workerId
    task.hasRun = true
  }
  return segmentIndexes
}

/**
 * Returns an occurrence of a job and creates it on first use.
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
 * @returns The task, or undefined when the job has no such task or the task is done.
 */
export function findTask (job: JobRecord, suffix: string, firstAttempt: number, now: number) {
  const [occurrence, step, index] = suffix.split('.').map(Number)
  return getOccurrence(job, occurrence, firstAttempt, now)?.steps[step]?.tasks.get(index)
}
