import type { Clock } from '../shared/Clock.js'
import type { ErrorBoundary } from '../shared/ErrorBoundary.js'
import type { Logger } from '../shared/Logger.js'
import type { Operation, TableService } from '../table/TableService.js'
import { FINISHED_JOB_VALUE, getPartition, JOB_TABLE, PROGRESS_TABLE } from './jobRows.js'

/** Options of a cleaner. */
export interface FinishedJobCleanerOptions {
  tableService: TableService
  clock: Clock
  logger: Logger
  errors: ErrorBoundary
}

/** Jobs that finish within this time share a write; a new owner needlessly reads the submissions of one interval. */
const CLEANUP_INTERVAL_MILLISECONDS = 2000
/** The rows of jobs that are emptied or deleted in one transaction, more only for the many rows of one job. */
const ROWS_PER_WRITE = 90
/** The progress rows that are deleted in one transaction. */
const PROGRESS_ROWS_PER_WRITE = 90
/** The transactions of one interval, so that the rows of a very large job do not delay the owner's other writes. */
const PROGRESS_WRITES_PER_INTERVAL = 10

/**
 * Empties the rows of jobs whose final state is durable, so that a new owner does not read their submissions, and
 * deletes the rows of their progress beside the one with the final state.
 *
 * The empty row stays, so that a copy of the submission that arrives later does not start the job again.
 */
export class FinishedJobCleaner {
  /** The jobs and the keys of their rows to delete, by partition. */
  private readonly jobsByPartition = new Map<string, Map<string, Set<string>>>()
  private readonly progressKeys = new Set<string>()
  private cancelTimer: () => void = () => {}
  private stopped = false

  private constructor (private readonly options: FinishedJobCleanerOptions) {}

  /**
   * Creates a cleaner that does nothing before `start`.
   * @param options The store and the clock.
   * @returns The cleaner.
   */
  static create (options: FinishedJobCleanerOptions): FinishedJobCleaner {
    return new FinishedJobCleaner(options)
  }

  /**
   * Queues the rows of a job whose final state is durable.
   * @param jobId The job, whose first row is emptied.
   * @param keys The keys of the other rows of the job table that belong to it, which are deleted.
   */
  add (jobId: string, keys: readonly string[]): void {
    const partition = getPartition(JOB_TABLE, jobId)
    const partitionJobs = this.jobsByPartition.get(partition) ?? new Map<string, Set<string>>()
    partitionJobs.set(jobId, new Set([...partitionJobs.get(jobId) ?? [], ...keys]))
    this.jobsByPartition.set(partition, partitionJobs)
  }

  /** Queues the progress rows of jobs whose final state is durable, without the rows that hold it. */
  addProgressRows (keys: Iterable<string>): void {
    for (const key of keys) this.progressKeys.add(key)
  }

  /** Starts emptying queued rows at intervals. */
  start (): void {
    if (this.stopped) return
    this.cancelTimer = this.options.clock.setTimer(CLEANUP_INTERVAL_MILLISECONDS, () => {
      this.options.errors.runAsync('job-cleanup', async () => await this.cleanUp()).then(() => this.start())
    })
  }

  /** Stops writing; the next owner empties the rows that are still queued. */
  stop (): void {
    this.stopped = true
    this.cancelTimer()
  }

  private async cleanUp (): Promise<void> {
    await this.emptyRows()
    await this.deleteProgressRows()
  }

  private async deleteProgressRows (): Promise<void> {
    for (let count = 0; count < PROGRESS_WRITES_PER_INTERVAL && !this.stopped && this.progressKeys.size > 0; count++) {
      const batch = takeFirst(this.progressKeys, PROGRESS_ROWS_PER_WRITE)
      const operations = batch.map((key): Operation =>
        ({ kind: 'delete', table: PROGRESS_TABLE, key, condition: { kind: 'any' } }))
      const outcome = await this.options.tableService.transact({ operations })
      if (outcome.kind !== 'committed') {
        this.options.logger.info('cleanup of progress rows postponed', { outcome: outcome.kind })
        return
      }
      for (const key of batch) this.progressKeys.delete(key)
    }
  }

  private async emptyRows (): Promise<void> {
    for (const [partition, jobs] of [...this.jobsByPartition]) {
      if (this.stopped) return
      const batch = takeBatch(jobs)
      const outcome = await this.options.tableService.transact({ operations: batch.flatMap(createOperations) })
      if (outcome.kind !== 'committed') {
        this.options.logger.info('cleanup of finished jobs postponed', { partition, outcome: outcome.kind })
        continue
      }
      for (const [jobId] of batch) jobs.delete(jobId)
      if (jobs.size === 0) this.jobsByPartition.delete(partition)
    }
  }
}

/** Returns the first keys, without a copy of all others. */
function takeFirst (keys: ReadonlySet<string>, count: number): string[] {
  const first: string[] = []
  for (const key of keys) if (first.push(key) === count) break
  return first
}

/** Returns the first jobs whose rows fit into one transaction, at least one. */
function takeBatch (jobs: ReadonlyMap<string, ReadonlySet<string>>): Array<[string, ReadonlySet<string>]> {
  const batch: Array<[string, ReadonlySet<string>]> = []
  let rowCount = 0
  for (const [jobId, keys] of jobs) {
    rowCount += 1 + keys.size
    if (batch.length > 0 && rowCount > ROWS_PER_WRITE) break
    batch.push([jobId, keys])
  }
  return batch
}

function createOperations ([jobId, keys]: [string, ReadonlySet<string>]): Operation[] {
  return [
    { kind: 'put', table: JOB_TABLE, key: jobId, value: FINISHED_JOB_VALUE, condition: { kind: 'any' } },
    ...[...keys].map((key): Operation => ({ kind: 'delete', table: JOB_TABLE, key, condition: { kind: 'any' } }))
  ]
}
