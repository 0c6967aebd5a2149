import type { WorkerRecord } from '../dispatch/index.js'
import { SHARD_TABLE, type Fence } from '../leases/ShardLease.js'
import type { Clock } from '../shared/Clock.js'
import type { ErrorBoundary } from '../shared/ErrorBoundary.js'
import type { JsonValue } from '../shared/JsonValue.js'
import type { Logger } from '../shared/Logger.js'
import type { Operation, TableService, TransactionOutcome } from '../table/TableService.js'
import type { TransactionRepeater } from '../table/TransactionRepeater.js'
import { HOLDING_TABLE } from './jobRows.js'

/** Options of a registry. */
export interface WorkerRegistryOptions {
  shardId: string
  fence: Fence
  tableService: TableService
  /** Repeats registrations while their responses are overdue; each is sent once at a time by default. */
  repeater?: TransactionRepeater
  clock: Clock
  logger: Logger
  errors: ErrorBoundary
  /** Called when workers were registered, so that tasks may start on them. */
  onRegistered (): void
  onDeposed (reason: string): void
}

/** A transaction holds 100 entries, one of which checks the owner. */
const WORKERS_PER_WRITE = 90
const RETRY_MILLISECONDS = 200

/** Stores which workers may run tasks of the shard, so that a successor asks them for their runs. */
export class WorkerRegistry {
  private registering = false
  private stopped = false

  private constructor (private readonly options: WorkerRegistryOptions) {}

  /**
   * Creates a registry.
   * @param options The shard, its owner and the store.
   * @returns The registry.
   */
  static create (options: WorkerRegistryOptions): WorkerRegistry {
    return new WorkerRegistry(options)
  }

  /** Stops writing; outcomes of calls in flight are ignored. */
  stop (): void {
    this.stopped = true
  }

  /**
   * Stores the workers that have reported and are not registered yet; tasks are sent to a worker only after that.
   *
   * A worker that never reported runs nothing, and a successor would wait for it.
   * @param workers All workers.
   */
  async register (workers: ReadonlyMap<string, WorkerRecord>): Promise<void> {
    if (this.registering || this.stopped) return
    const added = [...workers.values()]
      .filter(worker => !worker.registered && worker.clockReading !== null)
      .slice(0, WORKERS_PER_WRITE)
    if (added.length === 0) return
    this.registering = true
    const operations: Operation[] = added.map(worker => ({
      kind: 'put',
      table: HOLDING_TABLE,
      key: worker.entry.workerId,
      value: worker.entry as unknown as JsonValue,
      condition: { kind: 'any' }
    }))
    const outcome = await this.transact(operations, this.options.repeater)
    this.registering = false
    if (this.stopped) return
    if (outcome?.kind === 'committed') {
      for (const worker of added) worker.registered = true
      this.options.onRegistered()
    } else if (outcome?.kind === 'conflict') {
      return this.options.onDeposed('the registration of workers conflicted with another owner')
    } else {
      await new Promise<void>(resolve => { this.options.clock.setTimer(RETRY_MILLISECONDS, resolve) })
    }
    await this.register(workers)
  }

  /**
   * Deletes the rows of removed workers, as many in each write as a transaction holds.
   * @param workerIds The removed workers.
   */
  async unregister (workerIds: readonly string[]): Promise<void> {
    for (let index = 0; index < workerIds.length && !this.stopped; index += WORKERS_PER_WRITE) {
      const removed = workerIds.slice(index, index + WORKERS_PER_WRITE)
      const operations: Operation[] = removed.map(workerId => ({
        kind: 'delete', table: HOLDING_TABLE, key: workerId, condition: { kind: 'any' }
      }))
      const outcome = await this.transact(operations)
      if (outcome?.kind === 'committed') continue
      // No retry is needed: a remaining row costs a successor one call to a removed worker.
      this.options.logger.info('rows of removed workers not deleted', { workers: removed })
    }
  }

  /** Writes as the owner; returns null after an unexpected error, which leaves open whether the write took effect. */
  private async transact (operations: Operation[], repeater?: TransactionRepeater): Promise<TransactionOutcome | null> {
    const { errors, tableService } = this.options
    const transaction = { operations: [...operations, this.createOwnerCheck()] }
    let outcome: TransactionOutcome | null = null
    await errors.runAsync('worker-registration', async () => {
      const send = async () => await tableService.transact(transaction)
      outcome = repeater === undefined
        ? await send()
        : (await repeater.transact({ write: 'registration', transaction, send, mayRepeat: () => !this.stopped })).outcome
    })
    return outcome
  }

  private createOwnerCheck (): Operation {
    const { shardId, fence } = this.options
    return {
      kind: 'check', table: SHARD_TABLE, key: shardId, condition: { kind: 'version', version: fence.rowVersion }
    }
  }
}
