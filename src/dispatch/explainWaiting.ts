import type { TaskRecord } from '../jobs/index.js'
import { fits, isEligible, type ChoiceConditions } from './chooseWorker.js'
import { countRunsOfStep, type WorkerRecord } from './WorkerRecord.js'

/**
 * Why a ready task has no run: a worker that may run it has not been reconciled, no worker may get new work, no such
 * worker has the free capacity, those that have it run as many tasks of the step as the step allows on one worker, or
 * there is a worker for it that no plan has chosen yet.
 */
export type WaitingReason =
  'unreconciled-worker' | 'no-eligible-worker' | 'no-free-capacity' | 'limit-per-worker' | 'not-planned'

/**
 * Returns why no worker has been chosen for a task whose start is allowed.
 * @param task The task.
 * @param workers All workers.
 * @param conditions The conditions of the choice.
 * @returns The reason.
 */
export function explainWaiting (
  task: TaskRecord, workers: Iterable<WorkerRecord>, conditions: ChoiceConditions
): WaitingReason {
  const { requiredLabel: label, maximumPerWorker: limit } = task.step.specification
  const eligible = [...workers].filter(worker =>
    isEligible(worker, conditions) && (label === '' || worker.entry.labels.includes(label)))
  if (eligible.length === 0) return 'no-eligible-worker'
  const fitting = eligible.filter(worker => fits(worker, task))
  if (fitting.length === 0) return 'no-free-capacity'
  return limit === 0 || fitting.some(worker => countRunsOfStep(worker, task.step) < limit)
    ? 'not-planned'
    : 'limit-per-worker'
}
