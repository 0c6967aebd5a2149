import type { Configuration } from '../configuration/Configuration.js'
import { EMPTY_CONFIGURATION } from '../configuration/Configuration.js'
import { SHARD_LEASE_MILLISECONDS } from '../leases/ShardLease.js'
import type { PlacementEngine, PlacementRequest } from '../placement/PlacementEngine.js'
import { CompiledPolicy } from '../policy/CompiledPolicy.js'
import type { ResourceSize, TaskRun } from '../workers/WorkerProtocol.js'
import { JournalQueue } from './JournalQueue.js'
import type { OtherShard, OwnerEffect } from './ownerMessages.js'
import { QuotaEscrow } from './QuotaEscrow.js'
import { ShardState } from './ShardState.js'
import { isPlaced } from './taskMachine.js'
import type { TaskRecord, WorkerRecord } from './TaskRecord.js'
import { WaitingQueue } from './WaitingQueue.js'

/** Safety rules that tests disable to verify that a violation is detected, and limits that tests lower. */
export interface OwnerRules {
  /** Whether tasks of an unreachable worker start elsewhere only after every lease on it has expired. */
  waitForLeaseEnd: boolean
  /** Whether a start is sent only with a proof received before or shortly after its journal write. */
  limitStartProof: boolean
  /** Whether the owner asks the worker about a start whose outcome is unknown before it queues the task again. */
  reconcileStarts: boolean
  /** Whether a task that is queued again gets a new attempt number. */
  countAttempts: boolean
  /** Number of journal batches after which the owner writes a snapshot. */
  batchesPerSnapshot: number
}

/** More batches slow down recovery, fewer cause more snapshot writes. */
const BATCHES_PER_SNAPSHOT = 200

/** Event counts of an owner since it took the shard over. */
export interface OwnerCounters {
  accepted: number
  starts: number
  startsRefused: number
  startsExpired: number
  completed: number
  failed: number
  cancelled: number
  evictions: number
  resumed: number
  lost: number
  transferred: number
  batches: number
  batchRetries: number
  dataCentreConflicts: number
  exchanges: number
  exchangeFailures: number
}

/** Options of an owner: the identity of the shard, the recovered state and the placement engine. */
export interface OwnerOptions {
  shardId: string
  dataCentre: string
  region: string
  epoch: number
  state: ShardState
  lastSequence: number
  engine: PlacementEngine
  /** The version of the row `data-centres/<name>`, null when the row does not exist. */
  dataCentreVersion: number | null
  isOutOfService: boolean
  now: number
  rules?: Partial<OwnerRules>
}

/** Interval between exchanges with a worker; a worker's lease spans six of them. */
export const IDLE_EXCHANGE_MILLISECONDS = 5000
/** Interval between exchanges with workers that run tasks, while other tasks wait for capacity. */
export const BUSY_EXCHANGE_MILLISECONDS = 1000

/** The state of a shard's owner, shared by the modules that handle its messages. */
export class OwnerCore {
  readonly state: ShardState
  readonly engine: PlacementEngine
  readonly journal: JournalQueue
  readonly queue: WaitingQueue
  readonly quotas = QuotaEscrow.create()
  readonly rules: OwnerRules
  readonly counters: OwnerCounters = {
    accepted: 0,
    starts: 0,
    startsRefused: 0,
    startsExpired: 0,
    completed: 0,
    failed: 0,
    cancelled: 0,
    evictions: 0,
    resumed: 0,
    lost: 0,
    transferred: 0,
    batches: 0,
    batchRetries: 0,
    dataCentreConflicts: 0,
    exchanges: 0,
    exchangeFailures: 0
  }

  effects: OwnerEffect[] = []
  configuration: Configuration = EMPTY_CONFIGURATION
  policy: CompiledPolicy = CompiledPolicy.create([])
  otherShards: OtherShard[] = []
  leaseRenewedAt: number
  dataCentreVersion: number | null
  isOutOfService: boolean
  /** When the data centre came back into service, -Infinity if that was before this owner took over. */
  returnedAt = -Infinity
  startsSinceReturn = 0
  /** Incremented with each change after which a waiting task might fit. */
  capacityVersion = 0
  /** Whether the set of workers that accept starts has changed since the engine last received it. */
  workersChanged = true
  stopping = false
  /** Whether the owner has found its ownership or its state invalid; it then ignores all messages. */
  dropped = false
  transferCount = 0
  /** Running tasks that were asked to stop with a checkpoint. */
  readonly evicting = new Set<TaskRecord>()

  private constructor (readonly options: OwnerOptions) {
    this.state = options.state
    this.engine = options.engine
    this.journal = JournalQueue.create({ lastSequence: options.lastSequence })
    this.queue = WaitingQueue.create(kind => this.isUrgent(kind))
    this.rules = {
      waitForLeaseEnd: true,
      limitStartProof: true,
      reconcileStarts: true,
      countAttempts: true,
      batchesPerSnapshot: BATCHES_PER_SNAPSHOT,
      ...options.rules
    }
    this.leaseRenewedAt = options.now
    this.dataCentreVersion = options.dataCentreVersion
    this.isOutOfService = options.isOutOfService
  }

  /**
   * Creates the state of an owner that has just recovered a shard.
   * @param options The identity of the shard, the recovered state and the placement engine.
   * @returns The core.
   */
  static create (options: OwnerOptions): OwnerCore {
    return new OwnerCore(options)
  }

  isUrgent (kind: string): boolean {
    return this.policy.getKindPolicy(kind).workClass === 'urgent'
  }

  /** Returns whether starts may be journalled and sent at the given time. */
  mayStart (now: number): boolean {
    return !this.stopping && !this.isOutOfService && now - this.leaseRenewedAt < SHARD_LEASE_MILLISECONDS
  }

  /** Returns whether a worker may be sent starts. */
  isReady (worker: WorkerRecord): boolean {
    return worker.isReconciled && worker.consecutiveFailures === 0 && worker.listed !== 'leaving'
  }

  /** Schedules an exchange as soon as none is in flight; an unreachable worker keeps its retry delay. */
  requestExchange (worker: WorkerRecord, now: number): void {
    if (worker.consecutiveFailures === 0) worker.nextExchangeAt = Math.min(worker.nextExchangeAt, now)
  }

  getPlacementRequest (task: TaskRecord): PlacementRequest {
    const { taskId, attempt, job: { jobId, kind, team, size, dataCentre } } = task
    return { taskId, attempt, jobId, kind, team, size, dataCentre }
  }

  /** Assigns a waiting task to a worker; the caller journals the start. */
  place (task: TaskRecord, worker: WorkerRecord, reserved: ResourceSize, now: number): void {
    this.queue.remove(task)
    this.state.advance(task, 'place', now)
    this.state.assign(task, worker, reserved)
    task.startPhase = 'journalling'
    task.reason = null
  }

  /** Undoes a placement whose start is not durable and will not become durable. */
  unplace (task: TaskRecord, now: number): void {
    if (task.state === 'cancelling') return this.end(task, 'cancelled', now)
    this.release(task)
    this.state.advance(task, 'unplace', now)
    this.queue.add(task)
  }

  /**
   * Queues a task for its next attempt; the current one must no longer run and must not be able to start.
   * @param task The task.
   * @param checkpoint The checkpoint to resume from.
   * @param now The monotonic time.
   * @param onDurable Called when the journal record is durable.
   */
  requeue (task: TaskRecord, checkpoint: string | null, now: number, onDurable?: (now: number) => void): void {
    if (task.state === 'cancelling') return this.end(task, 'cancelled', now, onDurable)
    const mayHaveRun = task.startPhase === 'none' || task.startPhase === 'sent' || task.startPhase === 'inherited'
    if (mayHaveRun) this.counters.resumed++
    this.release(task)
    this.evicting.delete(task)
    this.state.advance(task, 'requeue', now)
    if (this.rules.countAttempts) task.attempt++
    task.checkpoint = checkpoint
    task.queuedAt = now
    this.queue.add(task)
    this.journal.append({ type: 'requeued', taskId: task.taskId, attempt: task.attempt, checkpoint }, onDurable)
  }

  /** Ends a task and journals its final state. */
  end (
    task: TaskRecord,
    ending: 'completed' | 'failed' | 'cancelled',
    now: number,
    onDurable?: (now: number) => void
  ): void {
    this.queue.remove(task)
    if (isPlaced(task.state)) this.release(task)
    this.evicting.delete(task)
    const event = ending === 'completed' ? 'complete' : ending === 'failed' ? 'fail' : 'cancelled'
    if (!this.state.advance(task, event, now)) this.state.advance(task, 'cancel', now)
    this.counters[ending]++
    this.journal.append({ type: 'ended', taskId: task.taskId, state: ending }, onDurable)
  }

  /** Begins to evict a running task, which resumes elsewhere from a checkpoint; returns whether it was running. */
  evict (task: TaskRecord, now: number): boolean {
    if (task.state !== 'running' || task.worker === null || task.isLost) return false
    this.state.advance(task, 'evict', now)
    this.evicting.add(task)
    this.counters.evictions++
    this.requestStop(task, now)
    return true
  }

  /** Sends a stop command with the next exchanges until the worker confirms it. */
  requestStop (task: TaskRecord, now: number): void {
    task.worker!.stops.add(task)
    this.requestExchange(task.worker!, now)
  }

  /**
   * Handles a run that no longer exists and whose completion was not reported.
   *
   * A start that was not sent is queued again at once; otherwise the last checkpoint of the run is looked up first.
   */
  handleLostRun (task: TaskRecord, now: number): void {
    if (task.startPhase === 'journalling' || task.isLost) return
    if (task.startPhase === 'durable') return this.requeue(task, task.checkpoint, now)
    if (task.state === 'cancelling') return this.end(task, 'cancelled', now)
    task.isLost = true
    this.counters.lost++
    const { taskId, attempt, checkpoint } = task
    this.effects.push({ kind: 'look-up-checkpoint', taskId, attempt, fallback: checkpoint })
  }

  getRun (task: TaskRecord): TaskRun {
    return { taskId: task.taskId, attempt: task.attempt }
  }

  private release (task: TaskRecord): void {
    this.engine.release(this.getRun(task))
    this.state.unassign(task)
    this.capacityVersion++
  }
}
