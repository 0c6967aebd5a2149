import type { TaskRecord } from '../jobs/index.js'
import { fits, isEligible, isInService, type ChoiceConditions } from './chooseWorker.js'
import { countRunsOfStep, isUnsteady, type WorkerRecord } from './WorkerRecord.js'

/**
 * Why a ready task has no run: a worker that may run it has not been reconciled, no worker may get new work, no such
 * worker has the free capacity, those that have it run as many tasks of the step as the step allows on one worker, or
 * there is a worker for it that no plan has chosen yet.
 */
export type WaitingReason =
  'unreconciled-worker' | 'no-eligible-worker' | 'no-free-capacity' | 'limit-per-worker' | 'not-planned'

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
  return {
    reason: getReason(eligible.length, fitting.length, fitting.some(isBelowLimit)),
    workersInService: inService.length,
    workersWithRoom: inService.filter(worker => fits(worker, task) && isBelowLimit(worker)).length,
    workersPaused: inService.length - eligible.length,
    workersUnsteady: inService.filter(worker => isUnsteady(worker, conditions.now)).length,
    reservedWorker: null
  }
}

function getReason (eligibleCount: number, fittingCount: number, hasWorker: boolean): WaitingReason {
  if (eligibleCount === 0) return 'no-eligible-worker'
  if (fittingCount === 0) return 'no-free-capacity'
  return hasWorker ? 'not-planned' : 'limit-per-worker'
}
