import { TASK_STATES, type TaskRecord, type WorkerRecord } from '../tasks/TaskRecord.js'
import type { OwnerCore } from '../tasks/OwnerCore.js'
import type { TaskReport, WorkerReport } from './SchedulerApi.js'

/**
 * Creates the report of a task for callers and operators.
 * @param core The core of the shard's owner.
 * @param task The task.
 * @param wallClockOffset The difference of the wall-clock time and the monotonic time, in milliseconds.
 * @returns The report.
 */
export function createTaskReport (core: OwnerCore, task: TaskRecord, wallClockOffset: number): TaskReport {
  const history = []
  for (let index = 0; index < task.history.length; index += 2) {
    const state = TASK_STATES[task.history[index + 1]]
    history.push({ at: new Date(task.history[index] + wallClockOffset).toISOString(), state, reason: '' })
  }
  if (history.length > 0 && task.reason !== null) history[history.length - 1].reason = task.reason
  return {
    taskId: task.taskId,
    jobId: task.job.jobId,
    team: task.job.team,
    kind: task.job.kind,
    state: task.state,
    attempt: task.attempt,
    shardId: task.transferredTo ?? core.options.shardId,
    workerId: task.worker?.workerId ?? null,
    dataCentre: task.worker?.dataCentre ?? null,
    reason: task.state === 'waiting' ? task.reason : null,
    history
  }
}

/**
 * Creates the report of a worker for operators.
 * @param core The core of the shard's owner.
 * @param worker The worker.
 * @returns The report.
 */
export function createWorkerReport (core: OwnerCore, worker: WorkerRecord): WorkerReport {
  const { workerId, dataCentre, rack, capacity } = worker
  return {
    workerId,
    dataCentre,
    rack,
    health: core.engine.getWorkerHealth(workerId) ?? 'healthy',
    reachable: worker.isReconciled && worker.consecutiveFailures === 0,
    capacity,
    committed: core.engine.getCommitted(workerId) ?? { processors: 0, memoryMegabytes: 0, accelerators: 0 },
    runningTasks: worker.tasks.size
  }
}
