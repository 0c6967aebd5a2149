import type { DispatchEngine, UnreachedRecord } from '../dispatch/index.js'
import { encodeProgress, type FinalJobState, type JobRecord } from '../jobs/index.js'
import { SHARD_TABLE, type Fence } from '../leases/ShardLease.js'
import { createIdentifier } from '../shared/identifiers.js'
import type { Clock } from '../shared/Clock.js'
import type { ErrorBoundary } from '../shared/ErrorBoundary.js'
import type { JsonValue } from '../shared/JsonValue.js'
import type { Logger } from '../shared/Logger.js'
import { SettledWriter } from '../table/SettledWriter.js'
import type { Operation, TableService, Transaction } from '../table/TableService.js'
import { PROGRESS_HEAD_TABLE, PROGRESS_TABLE, UNREACHED_TABLE } from './jobRows.js'

/** Options of a writer. */
export interface ProgressWriterOptions {
  shardId: string
  engine: DispatchEngine
  fence: Fence
  tableService: TableService
  clock: Clock
  logger: Logger
  errors: ErrorBoundary
  onDurable (finished: JobRecord[]): void
  onDeposed (): void
}

/** Runs that end within this time are written together, because each call to the store is billed. */
const BATCH_INTERVAL_MILLISECONDS = 60
/** A transaction holds 100 entries; a job takes one. */
const JOBS_PER_BATCH = 90
/** Time to determine the outcome of a write before the transaction is sent again. */
const SETTLE_LIMIT_MILLISECONDS = 1500
const RETRY_MILLISECONDS = 200
/** The longest time a lease loop waits for a write, so that leases are renewed during an outage of the store. */
const DURABILITY_WAIT_MILLISECONDS = 800
/** The longest time a start waits for its assignment to be stored; the task is then placed again. */
const ASSIGNMENT_WAIT_MILLISECONDS = 2000
/** The process may exit 2.6 s after SIGTERM, and the release after a flush takes a store call of up to 1 s. */
const FLUSH_LIMIT_MILLISECONDS = 1500

type WriterState = 'writing' | 'flushing' | 'stopped'

type WriteResult = 'durable' | 'unsettled' | 'deposed'

interface Batch {
  transaction: Transaction
  writeId: string
  written: Array<{ job: JobRecord, state: FinalJobState | null }>
  /** Whether the batch holds all changed jobs. */
  isComplete: boolean
  /** The last ended run of each worker that is durable once this batch is written. */
  lastEndedRuns: Map<string, { number: number, bornAtMilliseconds: number }>
  /** Called once the batch is durable. */
  jobWaiters: Array<() => void>
  /** The workers that the owner does not reach; null when the stored record stays as it is. */
  unreached: UnreachedRecord | null
}

/**
 * Makes the progress of jobs durable in batches, one write after another.
 *
 * Each batch replaces the head row on condition of its version, so that a write that takes effect after its call
 * timed out cannot overwrite a newer one. The next batch is taken only when the outcome of the last one is known.
 */
export class ProgressWriter {
  private state: WriterState = 'writing'
  private flushEndsAt = Infinity
  private lastFailure: string | null = null
  /** The batch that was sent and whose outcome is unknown. */
  private pendingBatch: Batch | null = null
  private headVersion: number | null = null
  private readonly writer: SettledWriter
  private waiters: Array<() => void> = []
  private readonly jobWaiters = new Map<JobRecord, Array<() => void>>()
  private currentWrite: Promise<boolean> = Promise.resolve(true)

  private constructor (private readonly options: ProgressWriterOptions) {
    this.writer = SettledWriter.create(options)
  }

  /**
   * Creates a writer that does nothing before `run`.
   * @param options The engine, the fence and the store.
   * @returns The writer.
   */
  static create (options: ProgressWriterOptions): ProgressWriter {
    return new ProgressWriter(options)
  }

  /** Writes changed jobs at intervals until the writer is stopped. */
  async run (): Promise<void> {
    while (this.state === 'writing') {
      await this.pause(BATCH_INTERVAL_MILLISECONDS)
      if (this.state !== 'writing') return
      this.currentWrite = this.options.errors.runAsync('progress-write', async () => await this.writeNext())
      if (!await this.currentWrite) this.abandonBatch()
    }
  }

  /**
   * Ends the loop and writes all jobs changed so far, within a bounded time.
   * @returns A promise that resolves when they are durable or the time is over. Jobs that were not written count as
   * changed again, and the ended runs that changed them are not acknowledged.
   */
  async flush (): Promise<void> {
    if (this.state !== 'writing') return
    const { clock, engine, logger } = this.options
    this.state = 'flushing'
    this.flushEndsAt = clock.monotonicMilliseconds() + FLUSH_LIMIT_MILLISECONDS
    let cancelTimer = () => {}
    const timeout = new Promise<false>(resolve => {
      cancelTimer = clock.setTimer(FLUSH_LIMIT_MILLISECONDS, () => resolve(false))
    })
    const isComplete = await Promise.race([this.writeAll(), timeout])
    cancelTimer()
    this.state = 'stopped'
    if (isComplete) return
    this.markPendingJobsChanged()
    logger.warn('progress not written before release of the shard', {
      jobs: engine.jobs.changedCount, reason: this.lastFailure
    })
  }

  /** Ends the loop after the write in flight. */
  stop (): void {
    this.state = 'stopped'
  }

  /**
   * Waits until the ended runs applied so far are durable.
   * @returns A promise that resolves when they are durable, or after a time limit when the store does not respond.
   */
  waitForDurability (): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.options.clock.setTimer(DURABILITY_WAIT_MILLISECONDS, resolve)
      this.waiters.push(() => {
        cancel()
        resolve()
      })
    })
  }

  /**
   * Waits until the present progress of a changed job is durable.
   * @param job The job.
   * @returns Whether it is durable; false after a time limit.
   */
  waitForJob (job: JobRecord): Promise<boolean> {
    return new Promise(resolve => {
      const cancel = this.options.clock.setTimer(ASSIGNMENT_WAIT_MILLISECONDS, () => resolve(false))
      const waiters = this.jobWaiters.get(job) ?? []
      this.jobWaiters.set(job, waiters)
      waiters.push(() => {
        cancel()
        resolve(true)
      })
    })
  }

  private async writeAll (): Promise<boolean> {
    await this.currentWrite
    while (!this.isStopped()) {
      if (await this.writeNext()) return true
    }
    return false
  }

  /** Writes one batch and returns whether all jobs that had changed when the batch was taken are durable. */
  private async writeNext (): Promise<boolean> {
    if (this.headVersion === null && !await this.readHead()) {
      await this.pause(RETRY_MILLISECONDS)
      return false
    }
    if (this.isStopped()) return false
    const batch = this.takeBatch()
    if (batch.written.length === 0 && batch.unreached === null) {
      this.confirmBatch(batch)
      return true
    }
    this.pendingBatch = batch
    const result = await this.settle(batch)
    if (result !== 'durable') this.markPendingJobsChanged()
    this.pendingBatch = null
    return result === 'durable' && batch.isComplete
  }

  /** Sends the transaction until its outcome is known, since one without a response may still take effect. */
  private async settle (batch: Batch): Promise<WriteResult> {
    for (;;) {
      const result = await this.write(batch)
      if (result !== 'unsettled' || this.isStopped()) return result
      await this.pause(RETRY_MILLISECONDS)
      if (this.isStopped()) return result
    }
  }

  private async write (batch: Batch): Promise<WriteResult> {
    const { shardId, clock } = this.options
    const marker = { table: PROGRESS_HEAD_TABLE, key: shardId, writeId: batch.writeId }
    const deadlineMilliseconds = Math.min(SETTLE_LIMIT_MILLISECONDS, this.flushEndsAt - clock.monotonicMilliseconds())
    const outcome = await this.writer.transactAndSettle(batch.transaction, marker, { deadlineMilliseconds })
    if (outcome.kind === 'committed') {
      this.headVersion = outcome.versions[0] ?? null
      this.confirmBatch(batch)
      return 'durable'
    }
    if (outcome.kind !== 'conflict') {
      this.lastFailure = outcome.reason
      return 'unsettled'
    }
    // As long as this process is the owner, only this writer changes the head: any other conflict is a takeover.
    const isOwnLateWrite = outcome.row.table === PROGRESS_HEAD_TABLE &&
      (outcome.current?.value as { writeId?: string } | null)?.writeId === batch.writeId
    if (isOwnLateWrite) {
      this.headVersion = outcome.current!.version
      this.confirmBatch(batch)
      return 'durable'
    }
    this.lastFailure = 'another process owns the shard'
    // A response after the writer was stopped says nothing about an ownership that was acquired since.
    if (!this.isStopped()) {
      this.state = 'stopped'
      this.options.onDeposed()
    }
    return 'deposed'
  }

  /** Gives up a batch after an unexpected error; its write may have taken effect, so the version is read again. */
  private abandonBatch (): void {
    this.markPendingJobsChanged()
    this.pendingBatch = null
    this.headVersion = null
  }

  /** Marks the jobs of the pending batch as changed, because it was not written. */
  private markPendingJobsChanged (): void {
    for (const { job } of this.pendingBatch?.written ?? []) this.options.engine.jobs.markChanged(job)
  }

  private takeBatch (): Batch {
    const { jobs } = this.options.engine
    const changed = jobs.takeChanged(JOBS_PER_BATCH)
    try {
      return this.createBatch(changed)
    } catch (error) {
      // A job that left the changed jobs without being written would let its ended runs be acknowledged.
      for (const job of changed) jobs.markChanged(job)
      throw error
    }
  }

  private createBatch (jobs: JobRecord[]): Batch {
    const { engine, shardId, fence, clock } = this.options
    const isComplete = engine.jobs.changedCount === 0
    const writeId = createIdentifier()
    const operations: Operation[] = [
      {
        kind: 'put',
        table: PROGRESS_HEAD_TABLE,
        key: shardId,
        value: { writeId },
        condition: this.headVersion === 0 ? { kind: 'absent' } : { kind: 'version', version: this.headVersion! }
      },
      { kind: 'check', table: SHARD_TABLE, key: shardId, condition: { kind: 'version', version: fence.rowVersion } }
    ]
    const written = jobs.map(job => ({ job, state: job.finalState }))
    for (const { job } of written) {
      const key = job.submission.jobId
      const value = encodeProgress(job, clock.wallMilliseconds()) as unknown as JsonValue
      operations.push({ kind: 'put', table: PROGRESS_TABLE, key, value, condition: { kind: 'any' } })
    }
    const unreached = this.createUnreachedRecord()
    if (unreached !== null) {
      operations.push({ kind: 'put', table: UNREACHED_TABLE, key: shardId, value: unreached, condition: { kind: 'any' } })
    }
    const lastEndedRuns = new Map<string, { number: number, bornAtMilliseconds: number }>()
    if (isComplete) {
      for (const worker of engine.workers.values()) {
        const { workerId, bornAtMilliseconds } = worker.entry
        lastEndedRuns.set(workerId, { number: worker.appliedCompletion, bornAtMilliseconds })
      }
    }
    const jobWaiters = jobs.flatMap(job => this.jobWaiters.get(job) ?? [])
    for (const job of jobs) this.jobWaiters.delete(job)
    return { transaction: { operations }, writeId, written, isComplete, lastEndedRuns, jobWaiters, unreached }
  }

  private createUnreachedRecord (): UnreachedRecord | null {
    const { engine, clock } = this.options
    const now = clock.monotonicMilliseconds()
    const unreconciled = engine.unreconciled.getExpiries()
    return engine.unreached.needsRecord(unreconciled, now) ? engine.unreached.createRecord(unreconciled, now) : null
  }

  private confirmBatch (batch: Batch): void {
    const { engine, clock } = this.options
    if (batch.unreached !== null) engine.unreached.confirmDurable(batch.unreached)
    for (const notify of batch.jobWaiters) notify()
    for (const [workerId, { number, bornAtMilliseconds }] of batch.lastEndedRuns) {
      const worker = engine.workers.get(workerId)
      // A new incarnation of a worker numbers its ended runs from 1.
      if (worker === undefined || worker.entry.bornAtMilliseconds !== bornAtMilliseconds) continue
      worker.durableCompletion = Math.max(worker.durableCompletion, Math.min(number, worker.appliedCompletion))
    }
    if (batch.written.length > 0) {
      engine.jobs.confirmDurable(batch.written, clock.monotonicMilliseconds())
      this.options.onDurable(batch.written.filter(row => row.state !== null).map(row => row.job))
    }
    if (batch.lastEndedRuns.size === 0) return
    const { waiters } = this
    this.waiters = []
    for (const notify of waiters) notify()
  }

  private async readHead (): Promise<boolean> {
    const read = await this.options.tableService.read({ table: PROGRESS_HEAD_TABLE, key: this.options.shardId })
    if (read.kind !== 'ok') {
      this.lastFailure = read.reason
      return false
    }
    this.headVersion = read.value?.version ?? 0
    return true
  }

  private isStopped (): boolean {
    return this.state === 'stopped'
  }

  private pause (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.options.clock.setTimer(milliseconds, resolve) })
  }
}
