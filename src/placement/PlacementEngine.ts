import type { CompiledPolicy } from '../policy/CompiledPolicy.js'
import type { ResourceSize, TaskEnding, TaskRun, UsageReport } from '../workers/WorkerProtocol.js'

/** A worker as the platform's instance list describes it. */
export interface WorkerDescription {
  workerId: string
  dataCentre: string
  rack: string
  capacity: ResourceSize
}

/** A task that asks for a place. */
export interface PlacementRequest extends TaskRun {
  kind: string
  team: string
  /** The declared size; a placement reserves at least the learned size of the kind. */
  size: ResourceSize
  /** Only this data centre, when given. */
  dataCentre: string | null
  /** The key of jobs whose tasks are spread over racks. */
  jobId: string
}

/** Why a task waits. */
export type WaitReason = 'no-capacity' | 'team-quota' | 'apart-rule' | 'data-centre-out' | 'workers-unhealthy'

/** Why a task can never run as things stand. */
export type NeverReason = 'larger-than-every-worker' | 'larger-than-quota' | 'team-without-quota' | 'unknown-data-centre'

/** A task that must be evicted before a placement can take effect. */
export interface Victim extends TaskRun {
  workerId: string
}

/** The decision on one request. */
export type PlacementDecision =
  /** The size is reserved on the worker; the caller starts the task there or calls `release`. */
  | { kind: 'placed', workerId: string, reserved: ResourceSize }
  /** The caller evicts the victims, then asks again; nothing is reserved. */
  | { kind: 'evict-first', victims: Victim[] }
  | { kind: 'wait', reason: WaitReason }
  | { kind: 'never', reason: NeverReason }

/** Steps against interference, in the order of their cost. */
export type InterferenceAction =
  | TaskRun & { action: 'throttle', workerId: string, share: number }
  | TaskRun & { action: 'unthrottle', workerId: string }
  | TaskRun & { action: 'move', workerId: string }

/** Whether starts on a worker are allowed. */
export type WorkerHealth = 'healthy' | 'quarantined' | 'probing'

/**
 * Places the tasks of one or more shards on their workers.
 *
 * All methods are pure of time and sockets: the time is a parameter, in monotonic milliseconds.
 */
export interface PlacementEngine {
  /** Replaces the list of workers; a worker that is gone keeps its commitments until they are released. */
  setWorkers (workers: WorkerDescription[]): void
  setPolicy (policy: CompiledPolicy): void
  /** Tasks are placed only in data centres that are in service. */
  setDataCentreState (dataCentre: string, state: 'in-service' | 'out'): void
  /** What one shard may use for a team, from the quota that it holds in escrow. */
  setTeamHolding (team: string, holding: ResourceSize): void
  /** Decides on one request and reserves its size when it is placed. */
  decide (request: PlacementRequest, now: number): PlacementDecision
  /** Restores a commitment after a takeover, even beyond the capacity of the worker. */
  restore (request: PlacementRequest, workerId: string, reserved: ResourceSize, now: number): void
  /** Ends the commitment of a run; a run that is not known is ignored. */
  release (run: TaskRun): void
  /**
   * Learns from a lagging report and returns steps against interference. `workerTime` is the worker's time in the
   * answer that carried the report and gives the age of the report; without it, the report is taken for 10 s old.
   */
  recordUsage (workerId: string, report: UsageReport, now: number, workerTime?: number): InterferenceAction[]
  /**
   * Learns from the end of a run, for the health of the worker and of the kind. It is called before `release`, which
   * forgets the run. `refused` is for a worker that refused a start as broken, not for an old proof or an ended lease.
   */
  recordOutcome (run: TaskRun, ending: TaskEnding | 'refused', now: number): void
  /** Quarantines or releases a worker on an operator's word. */
  setWorkerHealth (workerId: string, health: WorkerHealth, now: number): void
  getWorkerHealth (workerId: string): WorkerHealth | undefined
  /** Returns the commitments of a worker, for reports and tests. */
  getCommitted (workerId: string): ResourceSize | undefined
  /** Writes the learned state (sizes, interference, health) as JSON, for a snapshot. */
  exportLearned (): unknown
  importLearned (learned: unknown): void
}
