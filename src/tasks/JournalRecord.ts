import type { TaskState } from '../scheduler/SchedulerApi.js'
import type { ResourceSize } from '../workers/WorkerProtocol.js'

/** What the tasks of a job have in common. */
export interface JobRecord {
  jobId: string
  team: string
  kind: string
  size: ResourceSize
  /** Only this data centre, or any when null. */
  dataCentre: string | null
  payload: unknown
}

/** A task on its way from one shard to another. */
export interface TransferredTask {
  taskId: string
  attempt: number
  checkpoint: string | null
  job: JobRecord
}

/** The value of a row `inbox-<shard>/<key>`. */
export type InboxEntry =
  | { kind: 'job', job: JobRecord, count: number }
  | { kind: 'transfer', fromShard: string, tasks: TransferredTask[] }

/** A worker as the journal knows it, so that a successor finds it when the instance list lags. */
export interface KnownWorker {
  workerId: string
  address: string
  dataCentre: string
  rack: string
  capacity: ResourceSize
}

/** One record of a shard's journal. */
export type JournalRecord =
  /** Tasks came in from the inbox; the inbox row is removed in the same transaction. */
  | { type: 'accepted', key: string, entry: InboxEntry }
  /** A start may be sent to the worker once this is durable. */
  | { type: 'start', taskId: string, attempt: number, workerId: string, reserved: ResourceSize }
  /** The earlier attempt certainly no longer runs; the task waits for the given attempt. */
  | { type: 'requeued', taskId: string, attempt: number, checkpoint: string | null }
  | { type: 'cancel', taskId: string }
  | { type: 'ended', taskId: string, state: Extract<TaskState, 'completed' | 'failed' | 'cancelled'> }
  /** The tasks are in the inbox of the other shard, put there in the same transaction. */
  | { type: 'transferred', taskIds: string[], shardId: string }
  | { type: 'worker', worker: KnownWorker }
  /** All owners up to the epoch have certainly stopped renewing leases of workers. */
  | { type: 'earlier-owners-stopped', epoch: number }
  /** What the shard holds of a team's quota, changed in one transaction with `quotas/<team>`. */
  | { type: 'holding', team: string, holding: ResourceSize }

/** The value of a row `quotas/<team>`. */
export interface QuotaRow {
  /** The quota by which `unallocated` was last adjusted. */
  total: ResourceSize
  unallocated: ResourceSize
  /** The configuration version of `total`; only a higher version changes it. */
  configurationVersion: number
}

/** The value of a row `journal-<shard>/<sequence>`. */
export interface JournalRow {
  writeId: string
  epoch: number
  records: JournalRecord[]
}

/** The value of a row `shard-snapshots/<shard>`. */
export interface SnapshotRow {
  objectKey: string
  sequence: number
  epoch: number
}

/** Names of tables and keys. */
export const SNAPSHOT_TABLE = 'shard-snapshots'
export const QUOTA_TABLE = 'quotas'
export const JOB_TABLE = 'jobs'

/** Sequence numbers are padded so that keys sort as numbers do. */
const SEQUENCE_DIGITS = 12

export function getJournalTable (shardId: string): string {
  return `journal-${shardId}`
}

export function getInboxTable (shardId: string): string {
  return `inbox-${shardId}`
}

export function getSequenceKey (sequence: number): string {
  return String(sequence).padStart(SEQUENCE_DIGITS, '0')
}

/**
 * Returns the identifiers of the tasks of a job.
 * @param jobId The job.
 * @param count How many tasks it has.
 * @returns The identifiers in order.
 */
export function getTaskIds (jobId: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${jobId}-${index}`)
}

/** Returns the job of a task identifier. */
export function getJobId (taskId: string): string {
  return taskId.slice(0, taskId.lastIndexOf('-'))
}

/** Returns the key under which a worker stores the checkpoint of a run. */
export function getCheckpointKey (taskId: string, attempt: number): string {
  return `checkpoints/${taskId}/${attempt}`
}
