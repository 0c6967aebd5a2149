import type { UnreachedRecord } from '../dispatch/index.js'
import { encodeProgress, getProgressKey, splitProgressRow, type ProgressSegment } from '../jobs/index.js'
import type { JsonValue } from '../shared/JsonValue.js'
import type { Logger } from '../shared/Logger.js'
import { measureOperation, type SizedOperation } from '../table/packOperations.js'
import { getPartKey, splitRecord } from '../table/splitRecord.js'
import type { TableLimits } from '../table/TableLimits.js'
import { PROGRESS_TABLE, UNREACHED_TABLE } from './jobRows.js'

/** What the rows of a segment depend on beside its tasks. */
export interface SegmentRowOptions {
  limits: TableLimits
  /** The time of day, stored with a final state. */
  wallMilliseconds: number
  logger: Logger
}

/**
 * Creates the operations that store a segment of the progress of a job.
 * @param segment The segment, whose job keeps the keys of the rows beside its first one.
 * @param options The limits of the store and the time.
 * @returns An operation for each row, which need no common transaction.
 */
export function createSegmentOperations (segment: ProgressSegment, options: SegmentRowOptions): SizedOperation[] {
  const { job, index } = segment
  const { jobId } = job.submission
  const { rows, omitted } = splitProgressRow(encodeProgress(segment, options.wallMilliseconds), options.limits.rowBytes)
  if (omitted.length > 0) {
    options.logger.warn('progress larger than a row not stored', { job: jobId, entries: omitted })
  }
  return rows.map(({ row, bytes }, part) => {
    const key = getProgressKey(jobId, index, part)
    if (key !== jobId) job.furtherProgressKeys.add(key)
    const value = row as unknown as JsonValue
    return measureOperation({ kind: 'put', table: PROGRESS_TABLE, key, value, condition: { kind: 'any' } }, bytes)
  })
}

/**
 * Creates the operations that store the workers that the owner does not reach.
 * @param shardId The shard.
 * @param record The workers.
 * @param options The limits of the store.
 * @returns An operation for each row. All must be in one transaction, as a successor reads rows of one version.
 */
export function createUnreachedOperations (
  shardId: string, record: UnreachedRecord, options: Pick<SegmentRowOptions, 'limits' | 'logger'>
): SizedOperation[] {
  const { parts, omitted } = splitRecord(record, options.limits.rowBytes)
  if (omitted.length > 0) options.logger.warn('unreached workers not stored', { workers: omitted })
  return parts.map((value, part) => measureOperation(
    { kind: 'put', table: UNREACHED_TABLE, key: getPartKey(shardId, part), value, condition: { kind: 'any' } }))
}
