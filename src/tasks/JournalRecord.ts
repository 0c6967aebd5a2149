import type { TaskState } from '../scheduler/SchedulerApi.js'
import type { ResourceSize } from '../workers/WorkerProtocol.js'

/** The attributes that all tasks of a job share. */
export interface JobRecord {
  jobId: string
  team: string
  kind: string
  size: ResourceSize
  /** The data centre that the tasks are restricted to, null when they may run in any. */
  dataCentre: string | null
  payload: unknown
}

/** A waiting task that is transferred from one shard to another. */
export interface TransferredTask {
  taskId: string
  attempt: number
  checkpoint: string | null
  job: JobRecord
}

/** The value of a row `inbox-<shard>/<key>`: work that the owner of the shard has yet to accept. */
export type InboxEntry =
  | { kind: 'job', job: JobRecord, count: number }
  | { kind: 'transfer', fromShard: string, tasks: TransferredTask[] }

/** A worker as journalled, so that a successor can reach it even if the instance list is out of date. */
export interface KnownWorker {
  workerId: string
  address: string
  dataCentre: string
  rack: string
  capacity: ResourceSize
}

/** One record of a shard's journal. */
export type JournalRecord =
  /** The tasks of an inbox row were accepted; the same transaction deletes the inbox row. */
  | { type: 'accepted', key: string, entry: InboxEntry }
  /** A task was placed; its start may be sent to the worker once this record is durable. */
  | { type: 'start', taskId: string, attempt: number, workerId: string, reserved: ResourceSize }
  /** The earlier attempt no longer runs and cannot start; the task waits for the given attempt. */
  | { type: 'requeued', taskId: string, attempt: number, checkpoint: string | null }
  | { type: 'cancel', taskId: string }
  | { type: 'ended', taskId: string, state: Extract<TaskState, 'completed' | 'failed' | 'cancelled'> }
  /** The tasks were transferred; the same transaction puts them into the inbox of the other shard. */
  | { type: 'transferred', taskIds: string[], shardId: string }
  | { type: 'worker', worker: KnownWorker }
  /** All owners up to the epoch have stopped renewing leases on workers. */
  | { type: 'earlier-owners-stopped', epoch: number }
  /** The shard's holding of a team's quota; the same transaction updates the row `quotas/<team>`. */
  | { type: 'holding', team: string, holding: ResourceSize }

/** The value of a row `quotas/<team>`. */
export interface QuotaRow {
  /** The team's quota as of `configurationVersion`. */
  total: ResourceSize
  /** The part of the quota that no shard holds. */
  unallocated: ResourceSize
  /** The configuration version that `total` comes from; only a newer version changes `total`. */
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

/** Names of tables. */
export const SNAPSHOT_TABLE = 'shard-snapshots'
export const QUOTA_TABLE = 'quotas'
export const JOB_TABLE = 'jobs'

/** Sequence numbers are padded with zeros so that their keys sort in numeric order. */
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

/** Returns the identifier of the job that a task belongs to. */
export function getJobId (taskId: string): string {
  return taskId.slice(0, taskId.lastIndexOf('-'))
}

/** Returns the key under which a worker stores the checkpoint of a run. */
export function getCheckpointKey (taskId: string, attempt: number): string {
  return `checkpoints/${taskId}/${attempt}`
}
