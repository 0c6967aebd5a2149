import type { TaskState } from '../scheduler/SchedulerApi.js'
import { stepMachine } from '../shared/stepMachine.js'
import type { ResourceSize } from '../workers/WorkerProtocol.js'
import {
  getTaskIds, type InboxEntry, type JobRecord, type JournalRecord, type KnownWorker, type TransferredTask
} from './JournalRecord.js'
import { taskMachine, isEnded, type TaskMachineEvent } from './taskMachine.js'
import {
  createTaskRecord, createWorkerRecord, recordTransition, type TaskRecord, type WorkerRecord
} from './TaskRecord.js'

/** Ended tasks that an owner still reports; older ones are forgotten to bound its memory. */
const MAX_ENDED_TASKS = 2000

/** A task in a snapshot; the job is an index into the snapshot's jobs. */
type SnapshotTask = [
  taskId: string, job: number, state: TaskState, attempt: number, workerId: string | null,
  checkpoint: string | null, reserved: ResourceSize | null
]

/** A snapshot of a shard's state as of a batch of its journal. */
export interface ShardSnapshot {
  jobs: JobRecord[]
  tasks: SnapshotTask[]
  workers: KnownWorker[]
  holdings: Array<[string, ResourceSize]>
  stoppedEpoch: number
  /** Learned state of the placement engine. */
  learned: unknown
}

/** The tasks, workers and quota holdings of one shard in its owner's memory. */
export class ShardState {
  readonly tasks = new Map<string, TaskRecord>()
  readonly workers = new Map<string, WorkerRecord>()
  readonly holdings = new Map<string, ResourceSize>()
  /** Up to this epoch all owners have certainly stopped renewing leases of workers. */
  stoppedEpoch = 0
  /** Ended tasks in the order of their end. */
  private readonly ended = new Set<TaskRecord>()

  private constructor () {}

  /**
   * Creates an empty state.
   * @returns The state.
   */
  static create (): ShardState {
    return new ShardState()
  }

  /**
   * Steps the machine of a task.
   * @param task The task.
   * @param event The event.
   * @param now The monotonic time.
   * @returns Whether the event is allowed in the present state; if not, nothing changed.
   */
  advance (task: TaskRecord, event: TaskMachineEvent, now: number): boolean {
    const next = stepMachine<TaskState>(taskMachine, task.state, event)
    if (next === undefined) return false
    task.state = next
    recordTransition(task, now)
    if (isEnded(next)) this.recordEndedTask(task)
    return true
  }

  /** Assigns a task to a worker. */
  assign (task: TaskRecord, worker: WorkerRecord, reserved: ResourceSize): void {
    task.worker = worker
    task.reserved = reserved
    worker.tasks.add(task)
  }

  /** Ends the assignment of a task. */
  unassign (task: TaskRecord): void {
    const worker = task.worker
    if (worker !== null) {
      worker.tasks.delete(task)
      worker.durableStarts.delete(task)
      worker.stops.delete(task)
      worker.throttles.delete(task.taskId)
    }
    task.worker = null
    task.reserved = null
    task.startPhase = 'none'
    task.isLost = false
    task.stopSentAt = -Infinity
  }

  /**
   * Adds the tasks of an inbox entry; a task that is known and not transferred away is left as it is.
   * @param entry The entry.
   * @param now The monotonic time.
   * @returns The tasks that were added.
   */
  accept (entry: InboxEntry, now: number): TaskRecord[] {
    const moved = entry.kind === 'transfer' ? entry.tasks : createTasks(entry.job, entry.count)
    const added: TaskRecord[] = []
    const jobs = new Map<string, JobRecord>()
    for (const { taskId, attempt, checkpoint, job } of moved) {
      const known = this.tasks.get(taskId)
      if (known !== undefined && known.state !== 'transferred') continue
      if (known !== undefined) this.ended.delete(known)
      const shared = jobs.get(job.jobId) ?? job
      jobs.set(job.jobId, shared)
      const task = createTaskRecord(shared, taskId, now)
      task.attempt = attempt
      task.checkpoint = checkpoint
      this.tasks.set(taskId, task)
      added.push(task)
    }
    return added
  }

  /** Returns the record of a worker, created when it is new. */
  getOrAddWorker (worker: KnownWorker, options: { mayBeLeased: boolean }): WorkerRecord {
    let record = this.workers.get(worker.workerId)
    if (record === undefined) {
      record = createWorkerRecord(worker, options)
      this.workers.set(worker.workerId, record)
    }
    return record
  }

  /**
   * Applies a durable record during recovery.
   * @param record The record.
   * @param now The monotonic time.
   */
  apply (record: JournalRecord, now: number): void {
    if (record.type === 'accepted') {
      this.accept(record.entry, now)
    } else if (record.type === 'worker') {
      const worker = this.getOrAddWorker(record.worker, { mayBeLeased: true })
      Object.assign(worker, record.worker)
      worker.journalled = true
    } else if (record.type === 'holding') {
      this.holdings.set(record.team, record.holding)
    } else if (record.type === 'earlier-owners-stopped') {
      this.stoppedEpoch = Math.max(this.stoppedEpoch, record.epoch)
    } else if (record.type === 'transferred') {
      for (const taskId of record.taskIds) {
        const task = this.tasks.get(taskId)
        if (task === undefined || !this.advance(task, 'transfer', now)) continue
        task.transferredTo = record.shardId
      }
    } else {
      const task = this.tasks.get(record.taskId)
      if (task !== undefined) this.applyToTask(task, record, now)
    }
  }

  /** Encodes the state; it must be the state as of a batch with nothing pending. */
  createSnapshot (learned: unknown): ShardSnapshot {
    const jobs = new Map<JobRecord, number>()
    const tasks: SnapshotTask[] = []
    for (const task of this.tasks.values()) {
      if (!jobs.has(task.job)) jobs.set(task.job, jobs.size)
      tasks.push([
        task.taskId, jobs.get(task.job)!, task.state, task.attempt, task.worker?.workerId ?? null,
        task.checkpoint, task.reserved
      ])
    }
    const workers = [...this.workers.values()].filter(worker => worker.journalled)
      .map(({ workerId, address, dataCentre, rack, capacity }) => ({ workerId, address, dataCentre, rack, capacity }))
    const { holdings, stoppedEpoch } = this
    return { jobs: [...jobs.keys()], tasks, workers, holdings: [...holdings], stoppedEpoch, learned }
  }

  /** Restores a snapshot into an empty state. */
  restoreSnapshot (snapshot: ShardSnapshot, now: number): void {
    this.stoppedEpoch = snapshot.stoppedEpoch
    for (const worker of snapshot.workers) this.apply({ type: 'worker', worker }, now)
    for (const [team, holding] of snapshot.holdings) this.holdings.set(team, holding)
    for (const [taskId, job, state, attempt, workerId, checkpoint, reserved] of snapshot.tasks) {
      const task = createTaskRecord(snapshot.jobs[job], taskId, now)
      task.attempt = attempt
      task.checkpoint = checkpoint
      task.state = state
      recordTransition(task, now)
      this.tasks.set(taskId, task)
      const worker = workerId === null ? undefined : this.workers.get(workerId)
      if (worker !== undefined && reserved !== null) this.assign(task, worker, reserved)
      if (worker !== undefined) task.startPhase = 'inherited'
      if (isEnded(state)) this.ended.add(task)
    }
  }

  private applyToTask (
    task: TaskRecord,
    record: Extract<JournalRecord, { taskId: string }>,
    now: number
  ): void {
    switch (record.type) {
      case 'start': {
        const worker = this.workers.get(record.workerId)
        if (worker === undefined || !this.advance(task, 'place', now)) return
        task.attempt = record.attempt
        this.assign(task, worker, record.reserved)
        task.startPhase = 'inherited'
        return
      }
      case 'requeued':
        this.unassign(task)
        task.attempt = record.attempt
        task.checkpoint = record.checkpoint
        task.state = 'waiting'
        recordTransition(task, now)
        return
      case 'cancel':
        if (task.state !== 'waiting') this.advance(task, 'cancel', now)
        return
      case 'ended':
        this.unassign(task)
        task.state = record.state
        recordTransition(task, now)
        this.recordEndedTask(task)
    }
  }

  private recordEndedTask (task: TaskRecord): void {
    this.ended.add(task)
    if (this.ended.size <= MAX_ENDED_TASKS) return
    const oldest = this.ended.values().next().value!
    this.ended.delete(oldest)
    if (this.tasks.get(oldest.taskId) === oldest) this.tasks.delete(oldest.taskId)
  }
}

function createTasks (job: JobRecord, count: number): TransferredTask[] {
  return getTaskIds(job.jobId, count).map(taskId => ({ taskId, attempt: 1, checkpoint: null, job }))
}
