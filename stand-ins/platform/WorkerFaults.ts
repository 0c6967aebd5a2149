/** Faults of an emulated worker that a test injects; all may be changed at any time. */
export interface WorkerFaults {
  /** The network drops all messages in both directions. */
  cutOff: boolean
  /** Calls to the worker while it is cut off fail as those of a process that has no open connection to it. */
  failsToConnect: boolean
  /** Share of the orders, 0 to 1, that the worker executes while its response is lost. */
  lostAnswerShare: number
  /** Share of the orders, 0 to 1, that get no response and are executed `lateMilliseconds` later. */
  lateShare: number
  lateMilliseconds: number
  /** Late calls are executed up to this much later than after `lateMilliseconds`, each by itself. */
  latenessSpreadMilliseconds: number
  /** Share of the report calls, 0 to 1, that the worker executes while its response is lost. */
  lostReportShare: number
  /** Share of the report calls, 0 to 1, that get no response and are executed late, as orders are. */
  lateReportShare: number
  /** Share of all calls, 0 to 1, whose connection is reset before the worker executes them. */
  resetShare: number
  /** The worker receives all calls and executes them, and none of its responses arrives. */
  isMute: boolean
  /** Runs make no progress and do not end, while the worker responds to calls. */
  isHanging: boolean
  /** Share of the runs, 0 to 1, that fail instead of completing. */
  failingShare: number
  /** Share of the starts, 0 to 1, that are rejected as those of an unhealthy worker. */
  unhealthyShare: number
  /** The factor by which runs take longer; 1 is the usual speed. */
  slowdown: number
}

/**
 * Creates the faults of a worker that has none.
 * @returns The faults.
 */
export function createWorkerFaults (): WorkerFaults {
  return {
    cutOff: false,
    failsToConnect: false,
    lostAnswerShare: 0,
    lateShare: 0,
    lateMilliseconds: 4000,
    latenessSpreadMilliseconds: 0,
    lostReportShare: 0,
    lateReportShare: 0,
    resetShare: 0,
    isMute: false,
    isHanging: false,
    failingShare: 0,
    unhealthyShare: 0,
    slowdown: 1
  }
}
