/** Processors in cores, memory in megabytes, accelerators in whole devices. */
export interface ResourceSize {
  processors: number
  memoryMegabytes: number
  accelerators: number
}

/** How a task ended on a worker. */
export type TaskEnding = 'completed' | 'failed' | 'stopped'

/** Identifies one run of a task; the attempt grows by one each time the task is started again. */
export interface TaskRun {
  taskId: string
  attempt: number
}

/** A command to start a task. */
export interface StartCommand extends TaskRun {
  kind: string
  size: ResourceSize
  /** The key of the checkpoint object to resume from, null to start afresh. */
  checkpoint: string | null
  /** What the submitter gave for the work itself; papayamoor does not look into it. */
  payload: unknown
}

/** A command to stop a task, with a checkpoint when the task can make one. */
export interface StopCommand extends TaskRun {
  checkpoint: boolean
}

/** A command to limit a task to a share of its processors, 0 to 1. */
export interface ThrottleCommand extends TaskRun {
  share: number
}

/** The one message from a scheduler to a worker: lease renewal, commands and acknowledgements. */
export interface WorkerExchange {
  shardId: string
  /** The fencing token; a worker refuses an epoch lower than the highest that it has seen. */
  epoch: number
  /** The worker time of an earlier answer; the lease ends a fixed time after it. Null renews nothing. */
  proof: number | null
  starts: StartCommand[]
  stops: StopCommand[]
  throttles: ThrottleCommand[]
  /** Events up to this sequence are kept by the scheduler and may be forgotten by the worker. */
  acknowledgedSequence: number
  /** Asks for the list of running tasks, after a takeover. */
  listTasks: boolean
}

/** Why a worker did not start a task; in each case it does not run there. */
export type StartRefusal = 'lease-ended' | 'proof-too-old' | 'already-ended' | 'broken'

/** The result of one command. */
export type CommandResult =
  | TaskRun & { command: 'start', outcome: 'started' | 'already-running' }
  | TaskRun & { command: 'start', outcome: 'refused', reason: StartRefusal }
  | TaskRun & { command: 'stop', outcome: 'stopped', checkpoint: string | null }
  | TaskRun & { command: 'stop', outcome: 'not-running' }
  | TaskRun & { command: 'throttle', outcome: 'throttled' | 'not-running' }

/** A task that ended; repeated in each answer until acknowledged. */
export interface TaskEvent extends TaskRun {
  sequence: number
  ending: TaskEnding
  /** The key of the checkpoint object, when the task made one. */
  checkpoint: string | null
}

/** The usage of one task, measured some seconds ago. */
export interface TaskUsage extends TaskRun {
  processors: number
  memoryMegabytes: number
  /** How much slower the task ran than alone: 1 is undisturbed, 2 is half as fast. */
  slowdown: number
}

/** A lagging report of what a worker's tasks used. */
export interface UsageReport {
  /** The worker time of the measurement. */
  measuredAt: number
  tasks: TaskUsage[]
}

/** A task as a worker lists it. */
export interface RunningTask extends TaskRun {
  kind: string
  size: ResourceSize
}

/** The answer of a worker. */
export type WorkerAnswer =
  | {
    kind: 'accepted'
    /** The worker's monotonic time in milliseconds, to be sent back as `proof`. */
    workerTime: number
    /** Changes when the worker process starts anew; all tasks of an earlier incarnation are gone. */
    incarnation: string
    results: CommandResult[]
    events: TaskEvent[]
    usage: UsageReport | null
    /** The running tasks when they were asked for. */
    tasks: RunningTask[] | null
  }
  | { kind: 'stale-epoch', currentEpoch: number }

/** The outcome of an exchange as the sender sees it. */
export type ExchangeOutcome =
  | { kind: 'answered', answer: WorkerAnswer }
  /** The worker certainly did not receive the message. */
  | { kind: 'not-sent', reason: string }
  /** The worker may or may not have received the message. */
  | { kind: 'unknown', reason: string }

/** Sends exchanges to workers. */
export interface WorkerClient {
  /** Sends one exchange to the worker at the address. */
  exchange (workerId: string, address: string, exchange: WorkerExchange): Promise<ExchangeOutcome>
}

/**
 * How long after the moment named by the proof a worker keeps running the tasks of a lease, in milliseconds.
 * Long enough for a takeover (6.6 s) and a slow store; short enough that work lost with a worker resumes soon.
 */
export const WORKER_LEASE_MILLISECONDS = 30_000

/** How old the proof of a start may be by the worker's clock, in milliseconds; bounds starts after a take-out. */
export const START_WINDOW_MILLISECONDS = 3_000

/** The greatest difference in rate between two clocks that leases allow for. */
export const MAX_CLOCK_DRIFT_RATIO = 0.1
