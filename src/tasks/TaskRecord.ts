import type { NeverReason, WaitReason } from '../placement/PlacementEngine.js'
import type { TaskState } from '../scheduler/SchedulerApi.js'
import { WorkerLease } from '../leases/WorkerLease.js'
import type { ResourceSize } from '../workers/WorkerProtocol.js'
import type { JobRecord, KnownWorker } from './JournalRecord.js'

/**
 * How far a start has come: in a batch that is not yet durable, durable but not sent, sent with the
 * outcome open, or journalled by an earlier owner.
 */
export type StartPhase = 'none' | 'journalling' | 'durable' | 'sent' | 'inherited'

/** A task in the memory of the shard's owner. */
export interface TaskRecord {
  readonly taskId: string
  readonly job: JobRecord
  state: TaskState
  attempt: number
  worker: WorkerRecord | null
  checkpoint: string | null
  reserved: ResourceSize | null
  startPhase: StartPhase
  /** Of a start: the latest receipt of a proof that may be used for it. */
  latestProofReceipt: number
  /** Of a start that was sent: when the worker certainly refuses it from. */
  startExpiresAt: number
  /** Whether the run is certainly over and only its last checkpoint is looked up. */
  isLost: boolean
  queuedAt: number
  /** When a stop was sent last. */
  stopSentAt: number
  reason: WaitReason | NeverReason | null
  /** The shard that the task was transferred to, when it was. */
  transferredTo: string | null
  /** Pairs of monotonic time and index of the state, oldest first. */
  history: number[]
}

/** A worker in the memory of the shard's owner. */
export interface WorkerRecord extends KnownWorker {
  lease: WorkerLease
  tasks: Set<TaskRecord>
  /** Whether the worker has answered this epoch and its tasks are known. */
  isReconciled: boolean
  incarnation: string | null
  /** Whether the instance list shows the worker, and as what. */
  listed: 'live' | 'leaving' | 'absent'
  /** Whether the journal knows the worker and its address. */
  journalled: boolean
  inFlight: boolean
  /** Failed exchanges since the last answer. */
  consecutiveFailures: number
  nextExchangeAt: number
  /** When the running tasks are asked for next, Infinity when there is no need. */
  reconcileAt: number
  durableStarts: Set<TaskRecord>
  stops: Set<TaskRecord>
  /** Runs that the worker lists but that are not on record; they are stopped. */
  orphanedRuns: Array<{ taskId: string, attempt: number }>
  throttles: Map<string, { taskId: string, attempt: number, share: number }>
  processedSequence: number
  acknowledgedSequence: number
}

/** The states in the order in which histories refer to them. */
export const TASK_STATES: readonly TaskState[] = [
  'waiting', 'starting', 'running', 'evicting', 'cancelling', 'transferred', 'completed', 'failed', 'cancelled'
]

/** Transitions kept for explanations; more would cost memory for each of 16,400 tasks. */
const HISTORY_LENGTH = 8

/**
 * Creates a task that waits.
 * @param job The job of the task.
 * @param taskId The identifier.
 * @param now The monotonic time.
 * @returns The task.
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

/** Appends the present state to the history of a task. */
export function recordTransition (task: TaskRecord, now: number): void {
  task.history.push(now, TASK_STATES.indexOf(task.state))
  if (task.history.length > 2 * HISTORY_LENGTH) task.history.splice(0, 2)
}

/**
 * Creates a worker.
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
