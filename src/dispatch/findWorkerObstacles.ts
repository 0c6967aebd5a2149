import type { TaskRecord } from '../jobs/index.js'
import { fits, isEligible, isInService, type ChoiceConditions } from './chooseWorker.js'
import { hasPersistentViolation } from './decidePace.js'
import { fitsAccountCap } from './fitsAccountCap.js'
import { countRunsOfStep, getFreeCapacity, type WorkerRecord } from './WorkerRecord.js'

/**
 * What keeps a worker with room from getting a task: the client account of the task has reached its cap
 * (`account-cap`), the worker's latest call has failed (`unreachable`), the store does not hold yet that it may run
 * tasks (`not-registered`) or holds that it is not reached (`recorded-unreached`), its data centre is out of service,
 * it lists runs without a job, it is paused after failures, its room is reserved for a restart, best-effort tasks
 * request all unused processors (`no-unused-processors`), it runs as many tasks of the step as the step allows on one
 * worker, a serving task there is above its target (`target-exceeded`), or the task is expected to bring one above it
 * (`interference`); nothing otherwise (`none`).
 */
export type WorkerObstacle =
  'account-cap' | 'unreachable' | 'not-registered' | 'recorded-unreached' | 'data-centre-out' | 'runs-without-job' | 'paused' |
  'reserved' | 'no-unused-processors' | 'limit-per-worker' | 'target-exceeded' | 'interference' | 'none'

/** The listed workers that have room for a task, by what keeps them from getting it. */
export interface WorkerObstacles {
  workersWithRoom: number
  counts: Partial<Record<WorkerObstacle, number>>
  /** Milliseconds since the call for the oldest of their latest reports; null when one has not reported. */
  oldestReportMilliseconds: number | null
}

/**
 * Finds out what keeps the workers that have room for a task from getting it.
 * @param task The task.
 * @param workers All workers.
 * @param conditions The conditions of the choice.
 * @returns The numbers of workers by obstacle, without those that drain, are removed or lack the label of the task.
 */
export function findWorkerObstacles (
  task: TaskRecord, workers: Iterable<WorkerRecord>, conditions: ChoiceConditions
): WorkerObstacles {
  const { requiredLabel } = task.step.specification
  const counts: Partial<Record<WorkerObstacle, number>> = {}
  const isAtCap = !fitsAccountCap(task.step)
  let workersWithRoom = 0
  let oldestReportAt = Infinity
  for (const worker of workers) {
    const { state, serviceName, labels } = worker.entry
    if (!worker.listed || state !== 'ready' || serviceName !== conditions.serviceName) continue
    if ((requiredLabel !== '' && !labels.includes(requiredLabel)) || !hasRoom(worker, task)) continue
    const obstacle = isAtCap ? 'account-cap' : getObstacle(worker, task, conditions)
    counts[obstacle] = (counts[obstacle] ?? 0) + 1
    workersWithRoom++
    oldestReportAt = Math.min(oldestReportAt, worker.reportedAt)
  }
  const oldestReportMilliseconds = Number.isFinite(oldestReportAt) ? Math.round(conditions.now - oldestReportAt) : null
  return { workersWithRoom, counts, oldestReportMilliseconds }
}

/** Returns whether a task fits into a worker when no room is reserved for restarts. */
function hasRoom (worker: WorkerRecord, task: TaskRecord): boolean {
  const { processorsMilli, memoryMegabytes, accelerators, fills } = task.step.specification
  const free = getFreeCapacity(worker)
  const { reservedForRestart: kept } = worker
  return free.memoryMegabytes + kept.memoryMegabytes >= memoryMegabytes &&
    free.accelerators + kept.accelerators >= accelerators &&
    (fills || free.processorsMilli + kept.processorsMilli >= processorsMilli)
}

function getObstacle (worker: WorkerRecord, task: TaskRecord, conditions: ChoiceConditions): WorkerObstacle {
  const { fills, maximumPerWorker } = task.step.specification
  if (worker.syncState !== 'synchronized') return 'unreachable'
  if (!worker.registered) return 'not-registered'
  if (worker.isRecordedUnreached) return 'recorded-unreached'
  if (!isInService(worker, conditions.serviceName, conditions.dataCentresOut)) return 'data-centre-out'
  if (worker.orphanedRuns.size > 0) return 'runs-without-job'
  if (!isEligible(worker, conditions)) return 'paused'
  if (!fits(worker, task)) return worker.reservingTask === null ? 'no-unused-processors' : 'reserved'
  if (maximumPerWorker > 0 && countRunsOfStep(worker, task.step) >= maximumPerWorker) return 'limit-per-worker'
  if (!fills) return 'none'
  if (hasPersistentViolation(worker, conditions.now)) return 'target-exceeded'
  return conditions.advisor.getInterferencePressure(worker, task) > 1 ? 'interference' : 'none'
}
