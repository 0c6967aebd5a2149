import type { CompiledPolicy } from '../policy/CompiledPolicy.js'
import type { ResourceSize, TaskEnding, TaskRun, UsageReport } from '../workers/WorkerProtocol.js'

/** A worker as the platform's instance list describes it. */
export interface WorkerDescription {
  workerId: string
  dataCentre: string
  rack: string
  capacity: ResourceSize
}

/** A request to place one task. */
export interface PlacementRequest extends TaskRun {
  kind: string
  team: string
  /** The declared size; the reserved size is derived from it and from the learned size of the kind. */
  size: ResourceSize
  /** The data centre in which the task must run, or null for any. */
  dataCentre: string | null
  /** The job of the task; the tasks of a job are spread over racks. */
  jobId: string
}

/** The reason for which a task has to wait. */
export type WaitReason = 'no-capacity' | 'team-quota' | 'apart-rule' | 'data-centre-out' | 'workers-unhealthy'

/** The reason for which a task cannot run under the current policy and workers, however long it waits. */
export type NeverReason = 'larger-than-every-worker' | 'larger-than-quota' | 'team-without-quota' | 'unknown-data-centre'

/** A running task that must be evicted before the requested task can be placed. */
export interface Victim extends TaskRun {
  workerId: string
}

/** The decision on one placement request. */
export type PlacementDecision =
  /** The size is reserved on the worker. The caller starts the task there or calls `release`. */
  | { kind: 'placed', workerId: string, reserved: ResourceSize }
  /**
   * The caller evicts the victims and then requests a decision again. Nothing is committed yet, but the capacity is
   * held for the task for a limited time.
   */
  | { kind: 'evict-first', victims: Victim[] }
  | { kind: 'wait', reason: WaitReason }
  | { kind: 'never', reason: NeverReason }

/** An action that reduces interference on a worker, or reverts an earlier one. */
export type InterferenceAction =
  | TaskRun & { action: 'throttle', workerId: string, share: number }
  | TaskRun & { action: 'unthrottle', workerId: string }
  | TaskRun & { action: 'move', workerId: string }

/** The health of a worker: `healthy` ones receive tasks, `probing` ones a single test task, `quarantined` ones none. */
export type WorkerHealth = 'healthy' | 'quarantined' | 'probing'

/**
 * Places the tasks of one or more shards on their workers.
 *
 * No method reads a clock or does I/O; the time is passed as a parameter, in monotonic milliseconds.
 */
export interface PlacementEngine {
  /** Replaces the list of workers; a removed worker keeps its commitments until they are released. */
  setWorkers (workers: WorkerDescription[]): void
  setPolicy (policy: CompiledPolicy): void
  /** Sets whether a data centre is in service; tasks are placed only in data centres that are. */
  setDataCentreState (dataCentre: string, state: 'in-service' | 'out'): void
  /** Sets the holding of a team: the part of the team's quota that is allocated to the shard. */
  setTeamHolding (team: string, holding: ResourceSize): void
  /** Decides on one request, and reserves the size of the task if the decision is `placed`. */
  decide (request: PlacementRequest, now: number): PlacementDecision
  /** Restores the commitment of a running task after a takeover, even if it exceeds the capacity of the worker. */
  restore (request: PlacementRequest, workerId: string, reserved: ResourceSize, now: number): void
  /** Releases the commitment of a run; an unknown run is ignored. */
  release (run: TaskRun): void
  /**
   * Learns from a usage report, which may be several seconds old, and returns actions against interference.
   * `workerTime` is the time on the worker's clock when it sent the response that contains the report; the age of the
   * report is computed from it. Without it, the report is assumed to be 10 s old.
   */
  recordUsage (workerId: string, report: UsageReport, now: number, workerTime?: number): InterferenceAction[]
  /**
   * Records the outcome of a run in the health of the worker and in the statistics of the kind. Must be called before
   * `release`, which removes the run. `refused` means that the worker refused the start because it is broken, and not
   * because of an outdated proof or an expired lease.
   */
  recordOutcome (run: TaskRun, ending: TaskEnding | 'refused', now: number): void
  /** Sets the health of a worker by an operator's command. */
  setWorkerHealth (workerId: string, health: WorkerHealth, now: number): void
  getWorkerHealth (workerId: string): WorkerHealth | undefined
  /** Returns the total size that is committed on a worker, for reports and tests. */
  getCommitted (workerId: string): ResourceSize | undefined
  /** Returns the learned state (sizes, interference, health) as a JSON value for a snapshot. */
  exportLearned (): unknown
  importLearned (learned: unknown): void
}
