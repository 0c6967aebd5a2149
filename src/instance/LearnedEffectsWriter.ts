import type { DispatchEngine } from '../dispatch/index.js'
import { SHARD_TABLE, type Fence } from '../leases/ShardLease.js'
import type { ErrorBoundary } from '../shared/ErrorBoundary.js'
import type { JsonValue } from '../shared/JsonValue.js'
import type { Logger } from '../shared/Logger.js'
import { measureOperation, packOperations } from '../table/packOperations.js'
import { getPartKey, splitRecord } from '../table/splitRecord.js'
import type { TableLimits } from '../table/TableLimits.js'
import type { Operation, TableService } from '../table/TableService.js'
import { LEARNED_TABLE } from './jobRows.js'

/** Options of a writer. */
export interface LearnedEffectsWriterOptions {
  shardId: string
  engine: DispatchEngine
  fence: Fence
  tableService: TableService
  tableLimits: TableLimits
  logger: Logger
  errors: ErrorBoundary
}

/** Interval at which learned interference is stored: a new owner loses at most this much of it. */
const STORE_INTERVAL_MILLISECONDS = 4000

/** Stores what the owner has learned of interference, for the next owner. */
export class LearnedEffectsWriter {
  private nextStoreAt = 0

  private constructor (private readonly options: LearnedEffectsWriterOptions) {}

  /**
   * Creates a writer that has stored nothing.
   * @param options The engine, the fence and the store.
   * @returns The writer.
   */
  static create (options: LearnedEffectsWriterOptions): LearnedEffectsWriter {
    return new LearnedEffectsWriter(options)
  }

  /**
   * Stores the learned effects if the last write is old enough.
   * @param now The monotonic time.
   */
  storeIfDue (now: number): void {
    if (now < this.nextStoreAt) return
    this.nextStoreAt = now + STORE_INTERVAL_MILLISECONDS
    this.options.errors.runAsync('learned-write', async () => await this.store())
  }

  private async store (): Promise<void> {
    const { engine, shardId, fence, tableService, tableLimits, logger } = this.options
    const learned = engine.advisor.export()
    if (Object.keys(learned).length === 0) return
    const { parts, omitted } = splitRecord(learned as unknown as Record<string, JsonValue>, tableLimits.rowBytes)
    if (omitted.length > 0) logger.warn('learned interference larger than a row not stored', { images: omitted.length })
    const groups = parts.map((value, part) => [measureOperation(
      { kind: 'put', table: LEARNED_TABLE, key: getPartKey(shardId, part), value, condition: { kind: 'any' } })])
    const check: Operation = {
      kind: 'check', table: SHARD_TABLE, key: shardId, condition: { kind: 'version', version: fence.rowVersion }
    }
    const limits = { operationCount: tableLimits.operationCount - 1, bytes: tableLimits.transactionBytes }
    for (const operations of packOperations(groups, limits)) {
      const outcome = await tableService.transact({ operations: [...operations, check] })
      // No retry is needed, because the next write replaces this one.
      if (outcome.kind !== 'committed') return logger.info('learned interference not stored', { outcome: outcome.kind })
    }
  }
}
