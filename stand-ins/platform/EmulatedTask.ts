import type { WorkerCapacity } from '../../src/dispatch/index.js'

/**
 * The behaviour of an emulated task. Its resources count only where the step of the task is not known; otherwise those
 * of the step do.
 */
export interface EmulatedTask extends WorkerCapacity {
  /** Time until a run ends by itself; Infinity for a task that runs until it is stopped. */
  durationMilliseconds: number
  /** Number of runs of the task that fail before one succeeds. */
  failureCount: number
  /** Whether all runs of the task fail. */
  failsAlways?: boolean
  /** Time of work between two checkpoints of a run; by default, runs make none. */
  checkpointMilliseconds?: number
  /** Time that a run takes to resume from a checkpoint; the default is 0. */
  restoreMilliseconds?: number
}
