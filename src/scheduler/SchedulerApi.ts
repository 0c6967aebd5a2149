import type { NeverReason, WaitReason, WorkerHealth } from '../placement/PlacementEngine.js'
import type { ResourceSize } from '../workers/WorkerProtocol.js'

/** The tasks of one submission. */
export interface JobSubmission {
  team: string
  /** The idempotency key: a submission with the same team and key is the same job. */
  key: string
  kind: string
  /** The number of tasks, from 1 to 1000, which all have the same kind, size and payload. */
  count: number
  size: ResourceSize
  /** The data centre in which the tasks must run, or null for any. */
  dataCentre: string | null
  /** Passed to the workers unchanged. */
  payload: unknown
}

/** The outcome of a submission; only `accepted` work will run. */
export type SubmissionOutcome =
  | { kind: 'accepted', jobId: string, taskIds: string[], repeated: boolean }
  | { kind: 'not-run', reason: string }
  | { kind: 'unknown', jobId: string, reason: string }

/** The states of a task, as the task state machine defines them. */
export type TaskState =
  | 'waiting' | 'starting' | 'running' | 'evicting' | 'cancelling' | 'transferred' | 'completed' | 'failed' | 'cancelled'

/** One state transition of a task. */
export interface TaskTransition {
  at: string
  state: TaskState
  reason: string
}

/** A task as reported to callers and operators. */
export interface TaskReport {
  taskId: string
  jobId: string
  team: string
  kind: string
  state: TaskState
  attempt: number
  shardId: string
  workerId: string | null
  dataCentre: string | null
  /** Why the task is waiting or can never run, else null. */
  reason: WaitReason | NeverReason | null
  /** The most recent transitions, oldest first. */
  history: TaskTransition[]
}

/** Selects the tasks to list; an absent field matches every task. */
export interface TaskFilter {
  team?: string
  kind?: string
  state?: TaskState
  limit?: number
}

/** The outcome of a cancellation. */
export type CancelOutcome = { kind: 'accepted' } | { kind: 'already-ended', state: TaskState } | { kind: 'not-found' }

/** A worker as reported to operators. */
export interface WorkerReport {
  workerId: string
  dataCentre: string
  rack: string
  health: WorkerHealth
  reachable: boolean
  capacity: ResourceSize
  committed: ResourceSize
  runningTasks: number
}

/** A shard as reported to operators. */
export interface ShardReport {
  shardId: string
  owner: string | null
  epoch: number
  waiting: number
  running: number
}

/** The status of one scheduler and of the shards that it owns. */
export interface SchedulerStatus {
  instanceId: string
  dataCentre: string
  configurationVersion: number
  storeReachable: boolean
  shards: ShardReport[]
}

/**
 * The procedures that a scheduler serves over trpc at `/trpc`, under the same names.
 *
 * Queries: `getTask`, `listTasks`, `listWorkers`, `getStatus`. Mutations: `submitJob`, `cancelTask`,
 * `inboxChanged`, `releaseShard`. A scheduler that does not own the shard of a task asks the owner.
 */
export interface SchedulerApi {
  submitJob (submission: JobSubmission): Promise<SubmissionOutcome>
  cancelTask (input: { taskId: string }): Promise<CancelOutcome>
  getTask (input: { taskId: string }): Promise<TaskReport | null>
  listTasks (filter: TaskFilter): Promise<TaskReport[]>
  listWorkers (): Promise<WorkerReport[]>
  getStatus (): Promise<SchedulerStatus>
  inboxChanged (input: { shardId: string }): Promise<null>
  /** Drops the shard if the instance owns it at or before the epoch; returns whether the epoch is relinquished here. */
  releaseShard (input: { shardId: string, epoch: number }): Promise<{ released: boolean }>
}
