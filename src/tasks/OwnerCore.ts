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

/** Checks that tests leave out on purpose to prove that they would notice, and limits that they lower. */
export interface OwnerRules {
  /** Whether tasks of an unreachable worker wait for the certain end of its lease. */
  waitForLeaseEnd: boolean
  /** Whether a start is sent only with a proof from about the time of its journal write. */
  limitStartProof: boolean
  /** Whether a start whose outcome is unknown is settled with the worker before the task waits again. */
  reconcileStarts: boolean
  /** Whether a resumed task gets a new attempt number. */
  countAttempts: boolean
  /** After how many batches the journal is replaced by a snapshot. */
  batchesPerSnapshot: number
}

/** A longer journal makes recovery slower, a shorter one writes more snapshots. */
const BATCHES_PER_SNAPSHOT = 200

/** Events counted by an owner. */
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

/** What an owner needs from its surroundings. */
export interface OwnerOptions {
  shardId: string
  dataCentre: string
  region: string
  epoch: number
  state: ShardState
  lastSequence: number
  engine: PlacementEngine
  /** The version of the row `data-centres/<name>` as read, null when there is none. */
  dataCentreVersion: number | null
  isOutOfService: boolean
  now: number
  rules?: Partial<OwnerRules>
}

/** Idle workers are exchanged with this often: six renewals fit into a worker's lease. */
export const IDLE_EXCHANGE_MILLISECONDS = 5000
/** While tasks wait for capacity, ends of tasks are learned this often from busy workers. */
export const BUSY_EXCHANGE_MILLISECONDS = 1000

/** The shared state of the parts of an owner's step. */
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
  /** When the data centre came back into service, -Infinity when it did so before this owner. */
  returnedAt = -Infinity
  startsSinceReturn = 0
  /** Grows with each change after which a waiting task might fit. */
  capacityVersion = 0
  /** Whether the workers that the engine may use have changed. */
  workersChanged = true
  stopping = false
  dropped = false
  transferCount = 0
  /** Tasks that are being evicted. */
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
   * @param options The recovered state and the surroundings.
   * @returns The core.
   */
  static create (options: OwnerOptions): OwnerCore {
    return new OwnerCore(options)
  }

  isUrgent (kind: string): boolean {
    return this.policy.getKindPolicy(kind).workClass === 'urgent'
  }

  /** Tells whether starts may be journalled and sent now. */
  mayStart (now: number): boolean {
    return !this.stopping && !this.isOutOfService && now - this.leaseRenewedAt < SHARD_LEASE_MILLISECONDS
  }

  /** Tells whether a worker may get starts. */
  isReady (worker: WorkerRecord): boolean {
    return worker.isReconciled && worker.consecutiveFailures === 0 && worker.listed !== 'leaving'
  }

  /** Asks for an exchange as soon as the one in flight has ended; an unreachable worker keeps its delay. */
  requestExchange (worker: WorkerRecord, now: number): void {
    if (worker.consecutiveFailures === 0) worker.nextExchangeAt = Math.min(worker.nextExchangeAt, now)
  }

  getPlacementRequest (task: TaskRecord): PlacementRequest {
    const { taskId, attempt, job: { jobId, kind, team, size, dataCentre } } = task
    return { taskId, attempt, jobId, kind, team, size, dataCentre }
  }

  /** Puts a task on a worker while its start is not yet durable. */
  place (task: TaskRecord, worker: WorkerRecord, reserved: ResourceSize, now: number): void {
    this.queue.remove(task)
    this.state.advance(task, 'place', now)
    this.state.assign(task, worker, reserved)
    task.startPhase = 'journalling'
    task.reason = null
  }

  /** Takes back a start that certainly is not and will not become durable. */
  unplace (task: TaskRecord, now: number): void {
    if (task.state === 'cancelling') return this.end(task, 'cancelled', now)
    this.release(task)
    this.state.advance(task, 'unplace', now)
    this.queue.add(task)
  }

  /**
   * Lets a task wait for its next attempt; the present one certainly does not run and never will.
   * @param task The task.
   * @param checkpoint The checkpoint to resume from.
   * @param now The monotonic time.
   * @param onDurable Called when this is durable.
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

  /** Ends a task for good. */
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

  /** Begins to stop a running task with a checkpoint, so that it can resume elsewhere. */
  evict (task: TaskRecord, now: number): boolean {
    if (task.state !== 'running' || task.worker === null || task.isLost) return false
    this.state.advance(task, 'evict', now)
    this.evicting.add(task)
    this.counters.evictions++
    this.requestStop(task, now)
    return true
  }

  /** Has the worker stop a task, and repeats this until it has confirmed. */
  requestStop (task: TaskRecord, now: number): void {
    task.worker!.stops.add(task)
    this.requestExchange(task.worker!, now)
  }

  /**
   * Handles a run that certainly no longer runs and of which no end was reported.
   *
   * A start that was not sent has no run; else the newest checkpoint is looked up first.
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
