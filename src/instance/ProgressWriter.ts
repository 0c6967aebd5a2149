import type { DispatchEngine, UnreachedRecord } from '../dispatch/index.js'
import { getTaskSegment, type JobRecord, type ProgressSegment, type TaskRecord } from '../jobs/index.js'
import { SHARD_TABLE, type Fence } from '../leases/ShardLease.js'
import { createIdentifier } from '../shared/identifiers.js'
import type { Clock } from '../shared/Clock.js'
import type { ErrorBoundary } from '../shared/ErrorBoundary.js'
import type { Logger } from '../shared/Logger.js'
import { SettledWriter } from '../table/SettledWriter.js'
import type { TableLimits } from '../table/TableLimits.js'
import type { Operation, TableService, Transaction } from '../table/TableService.js'
import type { TransactionRepeater } from '../table/TransactionRepeater.js'
import { createProgressBatch, type DurabilityWaiter, type ProgressBatch } from './createProgressBatch.js'
import { PROGRESS_HEAD_TABLE } from './jobRows.js'

/** Options of a writer. */
export interface ProgressWriterOptions {
  shardId: string
  engine: DispatchEngine
  fence: Fence
  tableService: TableService
  /** Repeats writes while their responses are overdue; each is sent once at a time by default. */
  repeater?: TransactionRepeater
  tableLimits: TableLimits
  clock: Clock
  logger: Logger
  errors: ErrorBoundary
  onDurable (finished: JobRecord[]): void
  onDeposed (): void
}

/** Runs that end within this time are written together, because each call to the store is billed. */
const BATCH_INTERVAL_MILLISECONDS = 60
/** The segments that are encoded at once. */
const SEGMENTS_PER_BATCH = 90
/** A row that the store has rejected is sent again after this time, and earlier if its job ends. */
const REJECTED_ROW_RETRY_MILLISECONDS = 5000
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

type WriteResult = 'durable' | 'unsettled' | 'deposed' | 'rejected'

/**
 * Makes the progress of jobs durable in batches, one write after another.
 *
 * Each batch replaces the head row on condition of its version, so that a write that takes effect after its call
 * timed out cannot overwrite a newer one. The next batch is taken only when the outcome of the last one is known. A row
 * that the store rejects delays no other row: it is left out, and its segment counts as changed again later.
 */
export class ProgressWriter {
  private state: WriterState = 'writing'
  private flushEndsAt = Infinity
  private lastFailure: string | null = null
  /** The batch that was sent and whose outcome is unknown. */
  private pendingBatch: ProgressBatch | null = null
  private headVersion: number | null = null
  private readonly writer: SettledWriter
  private waiters: Array<() => void> = []
  private readonly segmentWaiters = new Map<ProgressSegment, DurabilityWaiter[]>()
  /** The segments with a rejected row, and the monotonic time at which they are sent again. */
  private readonly rejectedSegments = new Map<ProgressSegment, number>()
  private currentWrite: Promise<boolean> = Promise.resolve(true)

  private constructor (private readonly options: ProgressWriterOptions) {
    const { tableService, clock, repeater } = options
    const repeats = repeater === undefined ? undefined : { repeater, write: 'progress' as const }
    this.writer = SettledWriter.create({ tableService, clock, repeats })
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
      jobs: engine.jobs.countChangedJobs(), reason: this.lastFailure
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
   * Waits until the present progress of a changed task is durable.
   * @param task The task.
   * @returns Whether it is durable; false after a time limit, or when the store has rejected it.
   */
  waitForTask (task: TaskRecord): Promise<boolean> {
    return new Promise(resolve => {
      const cancel = this.options.clock.setTimer(ASSIGNMENT_WAIT_MILLISECONDS, () => resolve(false))
      const segment = getTaskSegment(task)
      const waiters = this.segmentWaiters.get(segment) ?? []
      this.segmentWaiters.set(segment, waiters)
      waiters.push({
        segment,
        notify: isDurable => {
          cancel()
          resolve(isDurable)
        }
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
      return batch.isComplete
    }
    this.pendingBatch = batch
    const result = await this.writeBatch(batch)
    if (result !== 'durable') this.markPendingJobsChanged()
    this.pendingBatch = null
    return result === 'durable' && batch.isComplete
  }

  /** Writes the transactions of a batch one after another, and leaves out the rows that the store rejects. */
  private async writeBatch (batch: ProgressBatch): Promise<WriteResult> {
    for (let operations = batch.remaining[0]; operations !== undefined; operations = batch.remaining[0]) {
      const result = await this.settle(operations)
      if (result !== 'durable' && result !== 'rejected') return result
      batch.remaining.shift()
      if (result === 'durable') continue
      const middle = Math.ceil(operations.length / 2)
      if (operations.length > 1) batch.remaining.unshift(operations.slice(0, middle), operations.slice(middle))
      else this.leaveOut(operations[0], batch)
    }
    this.confirmBatch(batch)
    return 'durable'
  }

  /** Leaves out a row that the store rejects by itself. */
  private leaveOut (operation: Operation, batch: ProgressBatch): void {
    const { clock, logger } = this.options
    const { table, key } = operation
    logger.error('row rejected by the store', { table, key, reason: this.lastFailure })
    const segment = batch.segmentsByOperation.get(operation)
    if (segment === undefined) return
    this.rejectedSegments.set(segment, clock.monotonicMilliseconds() + REJECTED_ROW_RETRY_MILLISECONDS)
    batch.written = batch.written.filter(written => written.segment !== segment)
    for (const waiter of batch.waiters) if (waiter.segment === segment) waiter.notify(false)
  }

  /** Sends a transaction until its outcome is known, since one without a response may still take effect. */
  private async settle (operations: Operation[]): Promise<WriteResult> {
    while (this.headVersion === null && !await this.readHead()) {
      await this.pause(RETRY_MILLISECONDS)
      if (this.isStopped()) return 'unsettled'
    }
    const writeId = createIdentifier()
    const transaction = this.createTransaction(writeId, operations)
    for (;;) {
      const result = await this.write(transaction, writeId)
      if (result !== 'unsettled' || this.isStopped()) return result
      await this.pause(RETRY_MILLISECONDS)
      if (this.isStopped()) return result
    }
  }

  private async write (transaction: Transaction, writeId: string): Promise<WriteResult> {
    const { shardId, clock } = this.options
    const marker = { table: PROGRESS_HEAD_TABLE, key: shardId, writeId }
    const deadlineMilliseconds = Math.min(SETTLE_LIMIT_MILLISECONDS, this.flushEndsAt - clock.monotonicMilliseconds())
    const outcome = await this.writer.transactAndSettle(transaction, marker, { deadlineMilliseconds })
    if (outcome.kind === 'committed') {
      this.headVersion = outcome.versions[0] ?? null
      return 'durable'
    }
    if (outcome.kind !== 'conflict') {
      this.lastFailure = outcome.reason
      return outcome.kind === 'unavailable' && outcome.isPermanent === true ? 'rejected' : 'unsettled'
    }
    // As long as this process is the owner, only this writer changes the head: any other conflict is a takeover.
    const isOwnLateWrite = outcome.row.table === PROGRESS_HEAD_TABLE &&
      (outcome.current?.value as { writeId?: string } | null)?.writeId === writeId
    if (isOwnLateWrite) {
      this.headVersion = outcome.current!.version
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

  /** Marks the segments of the pending batch as changed, because not all of them were written. */
  private markPendingJobsChanged (): void {
    this.options.engine.jobs.returnChanged(this.pendingBatch?.written.map(({ segment }) => segment) ?? [])
  }

  private takeBatch (): ProgressBatch {
    const { engine: { jobs }, clock } = this.options
    for (const [segment, retryAt] of this.rejectedSegments) {
      if (retryAt > clock.monotonicMilliseconds()) continue
      this.rejectedSegments.delete(segment)
      if (jobs.getJob(segment.job.submission.jobId) === segment.job) jobs.markChanged(segment)
    }
    const changed = jobs.takeChanged(SEGMENTS_PER_BATCH)
    try {
      return this.createBatch(changed)
    } catch (error) {
      // A segment that is not marked as changed without being written would let its ended runs be acknowledged.
      jobs.returnChanged(changed)
      throw error
    }
  }

  private createBatch (segments: ProgressSegment[]): ProgressBatch {
    const { engine, shardId, clock, logger, errors, tableLimits } = this.options
    return createProgressBatch({
      shardId,
      engine,
      errors,
      segments,
      unreached: this.createUnreachedRecord(),
      takeWaiters: segment => this.takeWaiters(segment),
      limits: tableLimits,
      wallMilliseconds: clock.wallMilliseconds(),
      logger
    })
  }

  /** Takes the waiters of a segment; the final state of a job stands for its other segments too. */
  private takeWaiters (segment: ProgressSegment): DurabilityWaiter[] {
    const { job } = segment
    const segments = job.finalState === null ? [segment] : [...job.progressSegments.values()]
    const waiters = segments.flatMap(other => this.segmentWaiters.get(other) ?? [])
    for (const other of segments) this.segmentWaiters.delete(other)
    return waiters
  }

  private createTransaction (writeId: string, operations: Operation[]): Transaction {
    const { shardId, fence } = this.options
    const head: Operation = {
      kind: 'put',
      table: PROGRESS_HEAD_TABLE,
      key: shardId,
      value: { writeId },
      condition: this.headVersion === 0 ? { kind: 'absent' } : { kind: 'version', version: this.headVersion! }
    }
    const check: Operation = {
      kind: 'check', table: SHARD_TABLE, key: shardId, condition: { kind: 'version', version: fence.rowVersion }
    }
    return { operations: [head, check, ...operations] }
  }

  private createUnreachedRecord (): UnreachedRecord | null {
    const { engine, clock } = this.options
    const now = clock.monotonicMilliseconds()
    const unreconciled = engine.unreconciled.getExpiries()
    return engine.unreached.needsRecord(unreconciled, now) ? engine.unreached.createRecord(unreconciled, now) : null
  }

  private confirmBatch (batch: ProgressBatch): void {
    const { engine, clock } = this.options
    if (batch.unreached !== null) engine.unreached.confirmDurable(batch.unreached)
    for (const waiter of batch.waiters) waiter.notify(true)
    for (const [workerId, { number, bornAtMilliseconds }] of batch.lastEndedRuns) {
      const worker = engine.workers.get(workerId)
      // A new incarnation of a worker numbers its ended runs from 1.
      if (worker === undefined || worker.entry.bornAtMilliseconds !== bornAtMilliseconds) continue
      worker.durableCompletion = Math.max(worker.durableCompletion, Math.min(number, worker.appliedCompletion))
    }
    if (batch.written.length > 0) {
      engine.jobs.confirmDurable(batch.written, clock.monotonicMilliseconds())
      this.options.onDurable(batch.written.filter(row => row.state !== null).map(row => row.segment.job))
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
