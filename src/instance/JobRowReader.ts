import type { JobTable } from '../dispatch/index.js'
import { decodeProgress, decodeProgressKey, type JobRecord } from '../jobs/index.js'
import type { Clock } from '../shared/Clock.js'
import type { ErrorBoundary } from '../shared/ErrorBoundary.js'
import type { Logger } from '../shared/Logger.js'
import type { Row } from '../table/TableService.js'
import type { FinishedJobCleaner } from './FinishedJobCleaner.js'
import { decodeSubmission, getCancelKey, getCancelledJobId, getSubmissionPartOf, isFinishedJob } from './jobRows.js'
import { SubmissionAssembler } from './submissionRows.js'

/** Options of a reader. */
export interface JobRowReaderOptions {
  jobs: JobTable
  cleaner: FinishedJobCleaner
  clock: Clock
  logger: Logger
  errors: ErrorBoundary
  /** The row version since which all owners have stored assignments, see `ShardLease`; null when some have not. */
  assignmentsStoredSince: number | null
  cancelJob (jobId: string): void
}

/** Adds the jobs of stored rows to the job table, and queues the rows of ended jobs for removal. */
export class JobRowReader {
  private readonly assembler = SubmissionAssembler.create()
  /** The keys of the further rows of submissions that exceed a row of the store, by job. */
  private readonly partKeys = new Map<string, Set<string>>()

  private constructor (private readonly options: JobRowReaderOptions) {}

  /**
   * Creates a reader.
   * @param options The jobs and the cleaner of their rows.
   * @returns The reader.
   */
  static create (options: JobRowReaderOptions): JobRowReader {
    return new JobRowReader(options)
  }

  /**
   * Adds the jobs that earlier owners have left.
   * @param jobRows The rows of the job table.
   * @param progressRows The rows of the progress table.
   */
  load (jobRows: readonly Row[], progressRows: readonly Row[]): void {
    const { jobs, cleaner, clock } = this.options
    const now = clock.monotonicMilliseconds()
    const progressByJobId = groupProgressRows(progressRows)
    for (const [jobId, progress] of progressByJobId) {
      const final = progress.map(({ value }) => decodeProgress(value)).find(({ state }) => state !== undefined)
      if (final?.state === undefined) continue
      jobs.setFinalState(jobId, final.state, now, final.account)
      cleaner.addProgressRows(progress.map(({ key }) => key).filter(key => key !== jobId))
    }
    this.addRows(jobRows, key => progressByJobId.get(key) ?? [], true)
    this.queueEndedJobs(jobRows)
  }

  /**
   * Adds the jobs of rows that were written or read again after the load.
   * @param rows The rows of the job table.
   * @param recovered Whether an earlier owner may have started, or may still start, their tasks.
   */
  add (rows: readonly Row[], recovered: boolean): void {
    this.addRows(rows, () => [], recovered)
  }

  /** Queues the rows of a job whose final state is durable for removal. */
  removeRows ({ submission: { jobId }, finalState, furtherProgressKeys }: JobRecord): void {
    const { cleaner } = this.options
    const cancelKeys = finalState === 'cancelled' ? [getCancelKey(jobId)] : []
    cleaner.add(jobId, [...cancelKeys, ...this.partKeys.get(jobId) ?? []])
    cleaner.addProgressRows(furtherProgressKeys)
    this.partKeys.delete(jobId)
  }

  private addRows (rows: readonly Row[], getProgress: (jobId: string) => readonly Row[], recovered: boolean): void {
    const { errors, cancelJob } = this.options
    for (const row of rows) {
      if (getCancelledJobId(row.key) !== null || isFinishedJob(row.value)) continue
      this.rememberPart(row)
      errors.run('job-row', () => {
        const whole = this.assembler.add(row)
        if (whole !== null) this.addJob(whole, getProgress(whole.key), recovered)
      })
    }
    for (const row of rows) {
      const jobId = getCancelledJobId(row.key)
      if (jobId !== null) cancelJob(jobId)
    }
  }

  private rememberPart ({ key }: Row): void {
    const partOf = getSubmissionPartOf(key)
    if (partOf === null) return
    const keys = this.partKeys.get(partOf.jobId) ?? new Set()
    this.partKeys.set(partOf.jobId, keys.add(key))
  }

  private addJob (row: Row, progress: readonly Row[], recovered: boolean): void {
    const { jobs, clock, logger, assignmentsStoredSince } = this.options
    const submission = decodeSubmission(row.value)
    if (submission === null) return logger.warn('invalid row in the job table ignored', { key: row.key })
    const hasStoredAssignments = assignmentsStoredSince !== null &&
      [row, ...progress].some(({ version }) => version > assignmentsStoredSince)
    jobs.add({ submission, progress, recovered, hasStoredAssignments }, clock.monotonicMilliseconds())
  }

  /** Queues the rows of jobs that ended under an earlier owner, which did not remove them. */
  private queueEndedJobs (rows: readonly Row[]): void {
    const { jobs, cleaner } = this.options
    for (const { key, value } of rows) {
      const cancelledJob = getCancelledJobId(key)
      const partOf = getSubmissionPartOf(key)
      const jobId = cancelledJob ?? partOf?.jobId ?? key
      const needsCleanup = !isFinishedJob(value) || cancelledJob !== null
      if (!needsCleanup || jobs.getJob(jobId) !== undefined) continue
      cleaner.add(jobId, cancelledJob === null && partOf === null ? [] : [key])
    }
  }
}

/** Groups the rows of the progress table by job. */
function groupProgressRows (rows: readonly Row[]): Map<string, Row[]> {
  const groups = new Map<string, Row[]>()
  for (const row of rows) {
    const { jobId } = decodeProgressKey(row.key)
    const group = groups.get(jobId)
    if (group === undefined) groups.set(jobId, [row])
    else group.push(row)
  }
  return groups
}
