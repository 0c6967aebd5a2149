import type { NeverReason, WaitReason } from '../placement/PlacementEngine.js'
import type { TaskState } from '../scheduler/SchedulerApi.js'
import { WorkerLease } from '../leases/WorkerLease.js'
import type { ResourceSize } from '../workers/WorkerProtocol.js'
import type { JobRecord, KnownWorker } from './JournalRecord.js'

/**
 * The progress of a task's start: `journalling` while its record is not yet durable, `durable` until it is sent,
 * `sent` until its outcome is known, `inherited` when an earlier owner journalled it, otherwise `none`.
 */
export type StartPhase = 'none' | 'journalling' | 'durable' | 'sent' | 'inherited'

/** The in-memory state of a task at the shard's owner. */
export interface TaskRecord {
  readonly taskId: string
  readonly job: JobRecord
  state: TaskState
  attempt: number
  worker: WorkerRecord | null
  checkpoint: string | null
  reserved: ResourceSize | null
  startPhase: StartPhase
  /** The latest time of receipt of a proof that the pending start may use. */
  latestProofReceipt: number
  /** The time from which the worker refuses the sent start. */
  startExpiresAt: number
  /** Whether the run was lost and the owner is looking up its last checkpoint. */
  isLost: boolean
  queuedAt: number
  /** The time at which a stop was last sent. */
  stopSentAt: number
  /** Why the task could not be placed, null when no placement has failed since the last start. */
  reason: WaitReason | NeverReason | null
  /** The shard that the task was transferred to, null if it was not transferred. */
  transferredTo: string | null
  /** Alternating monotonic times and indices into `TASK_STATES`, oldest first. */
  history: number[]
}

/** The in-memory state of a worker at the shard's owner. */
export interface WorkerRecord extends KnownWorker {
  lease: WorkerLease
  tasks: Set<TaskRecord>
  /** Whether this owner has compared its records with the worker's list of running tasks. */
  isReconciled: boolean
  incarnation: string | null
  /** The state of the worker in the instance list. */
  listed: 'live' | 'leaving' | 'absent'
  /** Whether the journal contains the worker with its present address. */
  journalled: boolean
  /** Whether an exchange with the worker is in flight. */
  inFlight: boolean
  /** Failed exchanges since the last answer. */
  consecutiveFailures: number
  nextExchangeAt: number
  /** When to request the list of running tasks next, Infinity when no request is needed. */
  reconcileAt: number
  /** Tasks whose start is durable and not yet sent. */
  durableStarts: Set<TaskRecord>
  /** Tasks whose stop the worker has not confirmed. */
  stops: Set<TaskRecord>
  /** Runs that the worker lists but the owner has no record of; the next exchange stops them. */
  orphanedRuns: Array<{ taskId: string, attempt: number }>
  /** Throttle commands to send, by task. */
  throttles: Map<string, { taskId: string, attempt: number, share: number }>
  /** The last task event that was processed; it is acknowledged once its effect is durable. */
  processedSequence: number
  acknowledgedSequence: number
}

/** All task states; histories store indices into this array. */
export const TASK_STATES: readonly TaskState[] = [
  'waiting', 'starting', 'running', 'evicting', 'cancelling', 'transferred', 'completed', 'failed', 'cancelled'
]

/** Transitions kept per task to explain its state; the limit bounds memory at 16,400 tasks. */
const HISTORY_LENGTH = 8

/**
 * Creates the record of a waiting task.
 * @param job The job of the task.
 * @param taskId The identifier.
 * @param now The monotonic time.
 * @returns The record.
 */
export function createTaskRecord (job: JobRecord, taskId: string, now: number): TaskRecord {
  return {
    taskId,
    job,
    state: 'waiting',
    attempt: 1,
    worker: null,
    checkpoint: null,
    reserved: null,
    startPhase: 'none',
    latestProofReceipt: 0,
    startExpiresAt: 0,
    isLost: false,
    queuedAt: now,
    stopSentAt: -Infinity,
    reason: null,
    transferredTo: null,
    history: [now, 0]
  }
}

/** Appends the current state to the history of a task. */
export function recordTransition (task: TaskRecord, now: number): void {
  task.history.push(now, TASK_STATES.indexOf(task.state))
  if (task.history.length > 2 * HISTORY_LENGTH) task.history.splice(0, 2)
}

/**
 * Creates the record of a worker.
 * @param worker The worker as listed or journalled.
 * @param options Whether an earlier owner of the shard may hold a lease on it.
 * @returns The record.
 */
export function createWorkerRecord (worker: KnownWorker, options: { mayBeLeased: boolean }): WorkerRecord {
  return {
    ...worker,
    lease: WorkerLease.create(options),
    tasks: new Set(),
    isReconciled: false,
    incarnation: null,
    listed: 'absent',
    journalled: false,
    inFlight: false,
    consecutiveFailures: 0,
    nextExchangeAt: 0,
    reconcileAt: Infinity,
    durableStarts: new Set(),
    stops: new Set(),
    orphanedRuns: [],
    throttles: new Map(),
    processedSequence: 0,
    acknowledgedSequence: 0
  }
}
