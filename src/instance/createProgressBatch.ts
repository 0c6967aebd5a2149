import type { DispatchEngine, UnreachedRecord } from '../dispatch/index.js'
import type { FinalJobState, ProgressSegment } from '../jobs/index.js'
import type { ErrorBoundary } from '../shared/ErrorBoundary.js'
import { packOperations, type SizedOperation } from '../table/packOperations.js'
import type { Operation } from '../table/TableService.js'
import { createSegmentOperations, createUnreachedOperations, type SegmentRowOptions } from './createProgressOperations.js'

/** The head row and the check of the owner, which each transaction has. */
const HEAD_OPERATION_COUNT = 2
/** Larger transactions would take too long on a weak link. */
const TRANSACTION_BYTES = 200_000

/** Progress that is written together. */
export interface ProgressBatch {
  /** The operations of the transactions that are not durable yet, in the order in which they are sent. */
  remaining: Operation[][]
  segmentsByOperation: Map<Operation, ProgressSegment>
  /** The segments, and the final states of jobs that have ended. */
  written: Array<{ segment: ProgressSegment, state: FinalJobState | null }>
  /** Whether the batch holds all changed segments. */
  isComplete: boolean
  /** The last ended run of each worker that is durable once this batch is written. */
  lastEndedRuns: Map<string, { number: number, bornAtMilliseconds: number }>
  /** Called once the batch is durable. */
  waiters: DurabilityWaiter[]
  /** The workers that the owner does not reach; null when the stored record stays as it is. */
  unreached: UnreachedRecord | null
}

/** Waits until the present progress of a segment is durable. */
export interface DurabilityWaiter {
  segment: ProgressSegment
  notify (isDurable: boolean): void
}

/** Options of a batch. */
export interface ProgressBatchOptions extends SegmentRowOptions {
  shardId: string
  engine: DispatchEngine
  errors: ErrorBoundary
  /** The segments, which no longer count as changed. */
  segments: ProgressSegment[]
  /** The workers that the owner does not reach; null when the stored record stays as it is. */
  unreached: UnreachedRecord | null
  /** Takes the waiters that the write of a segment notifies. */
  takeWaiters (segment: ProgressSegment): DurabilityWaiter[]
}

/**
 * Creates a batch from the present progress. Segments that cannot be encoded count as changed again.
 * @param options The segments and the limits of the store.
 * @returns The batch.
 */
export function createProgressBatch (options: ProgressBatchOptions): ProgressBatch {
  const { shardId, engine, segments, unreached, limits } = options
  const written: ProgressBatch['written'] = []
  const failed: ProgressSegment[] = []
  const segmentsByOperation = new Map<Operation, ProgressSegment>()
  const groups: SizedOperation[][] = []
  for (const segment of segments) {
    const isEncoded = options.errors.run('progress-encoding', () => {
      for (const sized of createSegmentOperations(segment, options)) {
        segmentsByOperation.set(sized.operation, segment)
        groups.push([sized])
      }
    })
    if (isEncoded) written.push({ segment, state: segment.job.finalState })
    else failed.push(segment)
  }
  const isComplete = failed.length === 0 && engine.jobs.changedCount === 0
  if (unreached !== null) groups.push(createUnreachedOperations(shardId, unreached, options))
  const remaining = packOperations(groups, {
    operationCount: limits.operationCount - HEAD_OPERATION_COUNT,
    bytes: Math.min(TRANSACTION_BYTES, limits.transactionBytes)
  })
  const lastEndedRuns = new Map<string, { number: number, bornAtMilliseconds: number }>()
  if (isComplete) {
    for (const worker of engine.workers.values()) {
      const { workerId, bornAtMilliseconds } = worker.entry
      lastEndedRuns.set(workerId, { number: worker.appliedCompletion, bornAtMilliseconds })
    }
  }
  const waiters = written.flatMap(({ segment }) => options.takeWaiters(segment))
  for (const segment of failed) engine.jobs.markChanged(segment)
  return { remaining, segmentsByOperation, written, isComplete, lastEndedRuns, waiters, unreached }
}
