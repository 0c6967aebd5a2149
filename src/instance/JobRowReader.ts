import type { JobTable } from '../dispatch/index.js'
import { decodeProgress, decodeProgressKey, type JobRecord } from '../jobs/index.js'
import type { Clock } from '../shared/Clock.js'
import type { ErrorBoundary } from '../shared/ErrorBoundary.js'
import { forEachInTurns } from '../shared/forEachInTurns.js'
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

/** The rows of ended jobs that a whole processor handles in about two milliseconds. */
const ROWS_PER_TURN = 1000

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
   * Adds the jobs that earlier owners have left, in turns of the event loop: the rows of ended jobs stay, so there may
   * be very many.
   * @param jobRows The rows of the job table.
   * @param progressRows The rows of the progress table.
   * @returns A promise that resolves when all jobs are added; until then, the jobs must not be used.
   */
  async load (jobRows: readonly Row[], progressRows: readonly Row[]): Promise<void> {
    const { jobs, cleaner, clock } = this.options
    const now = clock.monotonicMilliseconds()
    const progressByJobId = new Map<string, Row[]>()
    await this.forEachInTurns(progressRows, row => addToGroup(progressByJobId, row))
    await this.forEachInTurns(progressByJobId, ([jobId, progress]) => {
      const state = progress.map(({ value }) => decodeProgress(value).state).find(other => other !== undefined)
      if (state === undefined) return
      jobs.setFinalState(jobId, state, now)
      cleaner.addProgressRows(progress.map(({ key }) => key).filter(key => key !== jobId))
    })
    await this.forEachInTurns(jobRows, row => this.addRow(row, key => progressByJobId.get(key) ?? [], true))
    await this.forEachInTurns(jobRows, row => this.cancelJob(row))
    await this.forEachInTurns(jobRows, row => this.queueEndedJob(row))
  }

  /**
   * Adds the jobs of rows that were written or read again after the load.
   * @param rows The rows of the job table.
   * @param recovered Whether an earlier owner may have started, or may still start, their tasks.
   */
  add (rows: readonly Row[], recovered: boolean): void {
    for (const row of rows) this.addRow(row, () => [], recovered)
    for (const row of rows) this.cancelJob(row)
  }

  /** Queues the rows of a job whose final state is durable for removal. */
  removeRows ({ submission: { jobId }, finalState, furtherProgressKeys }: JobRecord): void {
    const { cleaner } = this.options
    const cancelKeys = finalState === 'cancelled' ? [getCancelKey(jobId)] : []
    cleaner.add(jobId, [...cancelKeys, ...this.partKeys.get(jobId) ?? []])
    cleaner.addProgressRows(furtherProgressKeys)
    this.partKeys.delete(jobId)
  }

  private async forEachInTurns<Item> (items: Iterable<Item>, handle: (item: Item) => void): Promise<void> {
    const { clock } = this.options
    const endTurn = () => new Promise<void>(resolve => { clock.setTimer(0, resolve) })
    await forEachInTurns(items, { itemsPerTurn: ROWS_PER_TURN, endTurn }, handle)
  }

  private addRow (row: Row, getProgress: (jobId: string) => readonly Row[], recovered: boolean): void {
    if (getCancelledJobId(row.key) !== null || isFinishedJob(row.value)) return
    this.rememberPart(row)
    this.options.errors.run('job-row', () => {
      const whole = this.assembler.add(row)
      if (whole !== null) this.addJob(whole, getProgress(whole.key), recovered)
    })
  }

  /** Cancels the job that a row names as cancelled, which must have been added before. */
  private cancelJob ({ key }: Row): void {
    const jobId = getCancelledJobId(key)
    if (jobId !== null) this.options.cancelJob(jobId)
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

  /** Queues a row of a job that ended under an earlier owner, which did not remove it. */
  private queueEndedJob ({ key, value }: Row): void {
    const { jobs, cleaner } = this.options
    const cancelledJob = getCancelledJobId(key)
    const partOf = getSubmissionPartOf(key)
    const jobId = cancelledJob ?? partOf?.jobId ?? key
    const needsCleanup = !isFinishedJob(value) || cancelledJob !== null
    if (!needsCleanup || jobs.getJob(jobId) !== undefined) return
    cleaner.add(jobId, cancelledJob === null && partOf === null ? [] : [key])
  }
}

/** Adds a row of the progress table to those of its job. */
function addToGroup (groups: Map<string, Row[]>, row: Row): void {
  const { jobId } = decodeProgressKey(row.key)
  const group = groups.get(jobId)
  if (group === undefined) groups.set(jobId, [row])
  else group.push(row)
}
