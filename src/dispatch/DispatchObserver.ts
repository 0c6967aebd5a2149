import type { RunRecord } from '../jobs/index.js'
import type { ListedCompletion } from './WorkerProtocol.js'
import type { WorkerRecord } from './WorkerRecord.js'

/** Why a run counts as over although its worker listed no end of it. */
export type RunLossCause = 'lease-expired' | 'not-listed' | 'worker-gone' | 'worker-restarted' | 'start-refused' | 'not-sent'

/** Why an end that a worker listed changes no task. */
export type IgnoredCompletionReason = 'unknown-job' | 'job-finished' | 'task-done'

/** Is told of changes that logs and counters explain, and decides nothing. */
export interface DispatchObserver {
  /** A run was taken as over without an end; its task may start again. */
  onRunLost (worker: WorkerRecord, run: RunRecord, cause: RunLossCause, now: number): void
  /** A listed end had no effect. */
  onCompletionIgnored (worker: WorkerRecord, ended: ListedCompletion, reason: IgnoredCompletionReason): void
}

/** An observer that does nothing. */
export const silentDispatchObserver: DispatchObserver = {
  onRunLost: () => {},
  onCompletionIgnored: () => {}
}
