import type { StepRecord } from '../jobs/index.js'

/**
 * Returns whether the cap of the client account of a step allows a start.
 * @param step The step.
 * @returns Whether a task of the step may start, or all members of its gang; true without an account.
 */
export function fitsAccountCap ({ specification, tasks, occurrence: { job: { account } } }: StepRecord): boolean {
  return account === null || account.fits(specification, specification.gang ? tasks.count : 1)
}
