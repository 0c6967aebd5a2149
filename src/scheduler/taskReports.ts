import { TASK_STATES, type TaskRecord, type WorkerRecord } from '../tasks/TaskRecord.js'
import type { OwnerCore } from '../tasks/OwnerCore.js'
import type { TaskReport, WorkerReport } from './SchedulerApi.js'

/**
 * Reports a task to callers and operators.
 * @param core The owner of the task's shard.
 * @param task The task.
 * @param wallClockOffset The wall time minus the monotonic time, in milliseconds.
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
 * Reports a worker to operators.
 * @param core The owner of the worker's shard.
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
