import type { TaskRecord } from '../jobs/index.js'
import { chooseEligibleWorker, fits, isEligible, isInService, type ChoiceConditions } from './chooseWorker.js'
import { fitsAccountCap } from './fitsAccountCap.js'
import type { GangObstacle } from './gangs/GangAttempts.js'
import { selectGangPlacement } from './selectGangPlacement.js'
import { countRunsOfStep, isUnsteady, type WorkerRecord } from './WorkerRecord.js'

/**
 * Why a ready task has no run: a later process of a worker may execute a start of it, see `OpenStarts`, a worker that
 * may run it has not been reconciled, a member of its gang is done or has a run that is not over, its client account
 * has reached its cap, no worker may get new work, all that are in service are paused after failures or not rid of runs
 * without a job, no worker that may get new work has the free capacity, those that have it run as many tasks of the
 * step as the step allows on one worker, the task would bring serving tasks above their targets on each of them, they
 * have room for some members of its gang only, its gang is too large to start within the time limit of the platform or
 * pauses after attempts that took too long to send, see `GangAttempts`, there is a worker for it that no plan has
 * chosen yet, or its room is kept free for urgent work, see `UrgentHeadroom`.
 */
export type WaitingReason =
  'open-start' | 'unreconciled-worker' | 'gang-not-over' | 'account-cap' | 'no-eligible-worker' | 'workers-paused' |
  'no-free-capacity' | 'limit-per-worker' | 'interference' | 'no-room-for-gang' | 'not-planned' | 'urgent-headroom' |
  GangObstacle

/** Why a task waits, and on how many workers that was decided; all counts are of workers that have its label. */
export interface WaitingExplanation {
  reason: WaitingReason
  /** The workers in service. */
  workersInService: number
  /** Those of them that have room for the task, without room reserved for restarts. */
  workersWithRoom: number
  /** Those in service that get no new work: they are paused after failures, or list runs without a job. */
  workersPaused: number
  /** Those in service that have stopped responding repeatedly of late, and are chosen last. */
  workersUnsteady: number
  /** The worker that is reserved for the task, or null. */
  reservedWorker: string | null
}

/**
 * Explains why no worker has been chosen for a task whose start is allowed.
 * @param task The task.
 * @param workers All workers.
 * @param conditions The conditions of the choice.
 * @returns The explanation, for a task without a reserved worker.
 */
export function explainWaiting (
  task: TaskRecord, workers: Iterable<WorkerRecord>, conditions: ChoiceConditions
): WaitingExplanation {
  const { requiredLabel: label, maximumPerWorker: limit } = task.step.specification
  const inService = [...workers].filter(worker =>
    isInService(worker, conditions.serviceName, conditions.dataCentresOut) &&
    (label === '' || worker.entry.labels.includes(label)))
  const eligible = inService.filter(worker => isEligible(worker, conditions))
  const fitting = eligible.filter(worker => fits(worker, task))
  const isBelowLimit = (worker: WorkerRecord): boolean => limit === 0 || countRunsOfStep(worker, task.step) < limit
  const getReason = (): WaitingReason => {
    if (isGangNotOver(task)) return 'gang-not-over'
    if (!fitsAccountCap(task.step)) return 'account-cap'
    if (eligible.length === 0) return inService.length > 0 ? 'workers-paused' : 'no-eligible-worker'
    if (fitting.length === 0) return 'no-free-capacity'
    if (!fitting.some(isBelowLimit)) return 'limit-per-worker'
    if (task.step.specification.gang) {
      return selectGangPlacement(task.step, eligible, conditions).length === 0 ? 'no-room-for-gang' : 'not-planned'
    }
    return chooseEligibleWorker(task, eligible, 0, conditions) === null ? 'interference' : 'not-planned'
  }
  return {
    reason: getReason(),
    workersInService: inService.length,
    workersWithRoom: inService.filter(worker => fits(worker, task) && isBelowLimit(worker)).length,
    workersPaused: inService.length - eligible.length,
    workersUnsteady: inService.filter(worker => isUnsteady(worker, conditions.now)).length,
    reservedWorker: null
  }
}

/** Returns whether a task belongs to a gang that cannot start: a member is done, or its run is not over. */
function isGangNotOver ({ step: { specification, tasks } }: TaskRecord): boolean {
  if (!specification.gang) return false
  return tasks.remainingCount < tasks.count || tasks.hasBusy()
}
