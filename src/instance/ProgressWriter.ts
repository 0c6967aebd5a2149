import type { DispatchEngine } from '../dispatch/index.js'
import { encodeProgress, type FinalJobState, type JobRecord } from '../jobs/index.js'
import { SHARD_TABLE, type Fence } from '../leases/ShardLease.js'
import { createIdentifier } from '../shared/identifiers.js'
import type { Clock } from '../shared/Clock.js'
import type { JsonValue } from '../shared/JsonValue.js'
import { SettledWriter } from '../table/SettledWriter.js'
import type { Operation, TableService, Transaction } from '../table/TableService.js'
import { PROGRESS_HEAD_TABLE, PROGRESS_TABLE } from './jobRows.js'

/** Options of a writer. */
export interface ProgressWriterOptions {
  shardId: string
  engine: DispatchEngine
  fence: Fence
  tableService: TableService
  clock: Clock
  onDurable (finished: JobRecord[]): void
  onDeposed (): void
}

/** Ends of this time are written together; each call of the store is billed. */
const BATCH_MILLISECONDS = 60
/** A transaction holds 100 entries; a job takes one. */
const JOBS_PER_BATCH = 90
/** How long one attempt to settle a write lasts before the transaction is tried again. */
const SETTLE_MILLISECONDS = 1500
const RETRY_MILLISECONDS = 200
/** The longest wait of a worker's loop for a write, so that leases are renewed during an outage of the store. */
const DURABILITY_WAIT_MILLISECONDS = 800

interface Batch {
  transaction: Transaction
  writeId: string
  written: Array<{ job: JobRecord, state: FinalJobState | null }>
  /** The ends that are durable with this batch, by worker. */
  ends: Map<string, { number: number, bornAtMilliseconds: number }>
}

/**
 * Makes the progress of jobs durable in batches, one write after another.
 *
 * Each batch replaces the head row on condition of its version, so that a write that takes effect late, after
 * its answer was given up, cannot undo a newer one.
 */
export class ProgressWriter {
  private stopped = false
  private headVersion: number | null = null
  private readonly writer: SettledWriter
  private waiters: Array<() => void> = []
  private writing: Promise<void> = Promise.resolve()

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

  /** Writes until it is stopped. */
  async run (): Promise<void> {
    while (!this.stopped) {
      await this.pause(BATCH_MILLISECONDS)
      if (this.stopped) return
      this.writing = this.writeOnce()
      await this.writing
    }
  }

  /** Ends the loop and writes what is not durable yet, after the write in flight. */
  async flush (): Promise<void> {
    this.stopped = true
    await this.writing
    await this.writeOnce()
  }

  /** Ends the loop after the write in flight. */
  stop (): void {
    this.stopped = true
  }

  /**
   * Waits until the ends applied so far are durable.
   * @returns A promise that resolves then, or after a while when the store does not answer.
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

  private async writeOnce (): Promise<void> {
    if (this.headVersion === null && !await this.readHead()) return await this.pause(RETRY_MILLISECONDS)
    const batch = this.takeBatch()
    if (batch.written.length === 0) return this.confirm(batch)
    while (!await this.write(batch)) {
      if (this.stopped) return
      await this.pause(RETRY_MILLISECONDS)
    }
  }

  private async write (batch: Batch): Promise<boolean> {
    const { shardId } = this.options
    const marker = { table: PROGRESS_HEAD_TABLE, key: shardId, writeId: batch.writeId }
    const outcome = await this.writer.transactAndSettle(
      batch.transaction, marker, { deadlineMilliseconds: SETTLE_MILLISECONDS })
    if (outcome.kind === 'committed') {
      this.headVersion = outcome.versions[0] ?? null
      this.confirm(batch)
      return true
    }
    if (outcome.kind !== 'conflict') return false
    // The head changes only with this writer's own writes, so any other conflict is a takeover.
    const isOwnLateWrite = outcome.row.table === PROGRESS_HEAD_TABLE &&
      (outcome.current?.value as { writeId?: string } | null)?.writeId === batch.writeId
    if (isOwnLateWrite) {
      this.headVersion = outcome.current!.version
      this.confirm(batch)
      return true
    }
    this.stopped = true
    this.options.onDeposed()
    return true
  }

  private takeBatch (): Batch {
    const { engine, shardId, fence, clock } = this.options
    const jobs = engine.jobs.takeChanged(JOBS_PER_BATCH)
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
    const ends = new Map<string, { number: number, bornAtMilliseconds: number }>()
    if (isComplete) {
      for (const worker of engine.workers.values()) {
        const { workerId, bornAtMilliseconds } = worker.entry
        ends.set(workerId, { number: worker.appliedEnd, bornAtMilliseconds })
      }
    }
    return { transaction: { operations }, writeId, written, ends }
  }

  private confirm (batch: Batch): void {
    const { engine, clock } = this.options
    for (const [workerId, { number, bornAtMilliseconds }] of batch.ends) {
      const worker = engine.workers.get(workerId)
      // A worker that was born again counts its ends anew.
      if (worker === undefined || worker.entry.bornAtMilliseconds !== bornAtMilliseconds) continue
      worker.acknowledgeableEnd = Math.max(worker.acknowledgeableEnd, Math.min(number, worker.appliedEnd))
    }
    if (batch.written.length > 0) {
      engine.jobs.confirmDurable(batch.written, clock.monotonicMilliseconds())
      this.options.onDurable(batch.written.filter(row => row.state !== null).map(row => row.job))
    }
    if (batch.ends.size === 0) return
    const { waiters } = this
    this.waiters = []
    for (const notify of waiters) notify()
  }

  private async readHead (): Promise<boolean> {
    const read = await this.options.tableService.read({ table: PROGRESS_HEAD_TABLE, key: this.options.shardId })
    if (read.kind !== 'ok') return false
    this.headVersion = read.value?.version ?? 0
    return true
  }

  private pause (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.options.clock.setTimer(milliseconds, resolve) })
  }
}
