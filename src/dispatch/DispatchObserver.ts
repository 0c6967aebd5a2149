import type { RunRecord, StepRecord, TaskRecord } from '../jobs/index.js'
import type { ListedCompletion } from './WorkerProtocol.js'
import type { WorkerRecord } from './WorkerRecord.js'

/** The cause for which a run is considered over although its worker reported no completion. */
export type RunLossCause =
  'lease-expired' | 'not-listed' | 'worker-gone' | 'worker-restarted' | 'start-refused' | 'not-sent'

/** The reason for which a reported completion changes no task. */
export type IgnoredCompletionReason = 'unknown-job' | 'job-finished' | 'task-done'

/** How it became certain which runs of earlier owners a worker has. */
export type ReconciliationCause = 'reported' | 'process-ended' | 'lease-expired'

/** Why the first start of a long-running task is held back; the processors are in thousandths. */
export interface HeldBackStart {
  /** What urgent work needs beside what it uses. */
  missingMilli: number
  /** The size of the larger urgent tasks. */
  pieceMilli: number
  /** What is free in pieces of this size. */
  freeMilli: number
  waitMilliseconds: number
}

/**
 * Why an attempt to start a gang was given up: not all members have started in time, a member has ended before the
 * others have started, or the run of a member was lost.
 */
export type GangAbandonCause = 'overdue' | 'member-ended' | RunLossCause

/** An attempt to start a gang that was given up. */
export interface AbandonedGang {
  step: StepRecord
  attempt: number
  cause: GangAbandonCause
  /** The time before the next attempt begins. */
  pauseMilliseconds: number
}

/** Receives events of the engine for logs and counters, without influence on its decisions. */
export interface DispatchObserver {
  /** Is called when a run is considered over without a completion; its task may start again. */
  onRunLost (worker: WorkerRecord, run: RunRecord, cause: RunLossCause, now: number): void
  /** Is called when a worker has reported from another process, in which none of its earlier runs is left. */
  onWorkerRestarted (worker: WorkerRecord, bornAtMilliseconds: number, lostRunCount: number): void
  /** Is called when a reported completion has no effect. */
  onCompletionIgnored (worker: WorkerRecord, ended: ListedCompletion, reason: IgnoredCompletionReason): void
  /** Is called when a best-effort run is stopped so that a long-running task, which has waited, gets its room. */
  onRunStoppedForRestart (run: RunRecord, waiting: TaskRecord, now: number): void
  /**
   * Is called when a run of a useless job is stopped so that a task that can still be in time gets its capacity. The
   * lost work is in thousandths of a processor times milliseconds.
   */
  onRunDisplaced (run: RunRecord, waiting: TaskRecord, lostWork: number): void
  /** Is called once for each long-running task whose first start is held back for urgent work. */
  onStartHeldBack (task: TaskRecord, inputs: HeldBackStart): void
  /** Is called when an attempt to start a gang is given up, before its runs are stopped. */
  onGangAbandoned (abandoned: AbandonedGang): void
  /** Is called when the runs of earlier owners on a worker are known or certainly over. */
  onReconciled (worker: WorkerRecord, cause: ReconciliationCause): void
}

/** An observer that does nothing. */
export const silentDispatchObserver: DispatchObserver = {
  onRunLost: () => {},
  onWorkerRestarted: () => {},
  onCompletionIgnored: () => {},
  onRunStoppedForRestart: () => {},
  onRunDisplaced: () => {},
  onStartHeldBack: () => {},
  onGangAbandoned: () => {},
  onReconciled: () => {}
}
