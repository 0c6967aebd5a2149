/** An amount of resources: processors in cores, memory in megabytes, accelerators in whole devices. */
export interface ResourceSize {
  processors: number
  memoryMegabytes: number
  accelerators: number
}

/** How a task ended on a worker. */
export type TaskEnding = 'completed' | 'failed' | 'stopped'

/** Identifies one run of a task; the attempt number increases by one each time the task is queued again. */
export interface TaskRun {
  taskId: string
  attempt: number
}

/** A command to start a task. */
export interface StartCommand extends TaskRun {
  kind: string
  size: ResourceSize
  /** The key of the checkpoint object to resume from, null to start from the beginning. */
  checkpoint: string | null
  /** The description of the work as submitted; papayamoor passes it on without interpreting it. */
  payload: unknown
}

/** A command to stop a task; `checkpoint` asks for a checkpoint if the task can write one. */
export interface StopCommand extends TaskRun {
  checkpoint: boolean
}

/** A command to limit a task to a share of its processors, from 0 to 1. */
export interface ThrottleCommand extends TaskRun {
  share: number
}

/** The only request that a scheduler sends to a worker: lease renewal, commands and acknowledgements. */
export interface WorkerExchange {
  shardId: string
  /** The fencing token; a worker rejects an epoch lower than the highest that it has received. */
  epoch: number
  /** The `workerTime` of an earlier answer; the lease expires a fixed time after it. Null renews no lease. */
  proof: number | null
  starts: StartCommand[]
  stops: StopCommand[]
  throttles: ThrottleCommand[]
  /** The scheduler has stored the events up to this sequence number; the worker may discard them. */
  acknowledgedSequence: number
  /** The `incarnation` that `acknowledgedSequence` refers to; a worker process with another one discards no events. */
  acknowledgedIncarnation: string | null
  /** Asks for the list of running tasks, after a takeover or when the outcome of a start is unknown. */
  listTasks: boolean
}

/** Why a worker refused to start a task; the worker does not run a refused task. */
export type StartRefusal = 'lease-ended' | 'proof-too-old' | 'already-ended' | 'broken'

/** The result of one command. */
export type CommandResult =
  | TaskRun & { command: 'start', outcome: 'started' | 'already-running' }
  | TaskRun & { command: 'start', outcome: 'refused', reason: StartRefusal }
  | TaskRun & { command: 'stop', outcome: 'stopped', checkpoint: string | null }
  | TaskRun & { command: 'stop', outcome: 'not-running' }
  | TaskRun & { command: 'throttle', outcome: 'throttled' | 'not-running' }

/** The end of a run; the worker repeats it in each answer until it is acknowledged. */
export interface TaskEvent extends TaskRun {
  sequence: number
  ending: TaskEnding
  /** The key of the checkpoint object, if the task wrote one. */
  checkpoint: string | null
}

/** Resource usage and slowdown of one task. */
export interface TaskUsage extends TaskRun {
  processors: number
  memoryMegabytes: number
  /** Run time relative to a run without colocated tasks: 1 is undisturbed, 2 is half as fast. */
  slowdown: number
}

/** A report on the resource usage of a worker's tasks; the measurement is some seconds old. */
export interface UsageReport {
  /** The worker's monotonic time of the measurement. */
  measuredAt: number
  tasks: TaskUsage[]
}

/** A running task as the worker lists it. */
export interface RunningTask extends TaskRun {
  kind: string
  size: ResourceSize
}

/** The answer of a worker to an exchange. */
export type WorkerAnswer =
  | {
    kind: 'accepted'
    /** The worker's monotonic time in milliseconds, to be sent back as `proof`. */
    workerTime: number
    /** Identifies the worker process; it changes with a restart, which ends all tasks of the process before. */
    incarnation: string
    results: CommandResult[]
    events: TaskEvent[]
    usage: UsageReport | null
    /** The running tasks if `listTasks` was set, otherwise null. */
    tasks: RunningTask[] | null
  }
  | { kind: 'stale-epoch', currentEpoch: number }

/** The outcome of an exchange as the sender sees it. */
export type ExchangeOutcome =
  | { kind: 'answered', answer: WorkerAnswer }
  /** The worker cannot have received the message. */
  | { kind: 'not-sent', reason: string }
  /** The worker may or may not have received the message. */
  | { kind: 'unknown', reason: string }

/** Sends exchanges to workers. */
export interface WorkerClient {
  /** Sends one exchange to the worker at the address. */
  exchange (workerId: string, address: string, exchange: WorkerExchange): Promise<ExchangeOutcome>
}

/**
 * How long after the time given by the proof a worker keeps running the tasks of a lease, in milliseconds.
 * It outlasts a takeover (6.6 s) with a slow store, yet is short enough that tasks of a lost worker resume soon.
 */
export const WORKER_LEASE_MILLISECONDS = 30_000

/**
 * The greatest age of the proof of a start by the worker's clock, in milliseconds. It bounds how long a worker still
 * accepts starts after its data centre was taken out of service.
 */
export const START_WINDOW_MILLISECONDS = 3_000

/** The greatest relative difference in rate between two clocks that leases tolerate. */
export const MAX_CLOCK_DRIFT_RATIO = 0.1
