import type { QueueConfiguration } from '../../src/instance/index.js'
import type { JobSpecification, StepSpecification } from '../../src/jobs/index.js'

/** The rules that hold for a task: its job, its step and its queue. */
export interface TaskRules {
  specification: JobSpecification
  step: StepSpecification
  queue: QueueConfiguration
}

/** The parts of a task name of the form `job.occurrence.step.index`. */
export interface TaskNameParts {
  jobId: string
  occurrence: number
  stepIndex: number
  /** The name of the step within its occurrence: `job.occurrence.step`. */
  stepName: string
}

/**
 * Splits a task name.
 * @param taskName The name.
 * @returns Its parts; the numbers are NaN if the name has another form.
 */
export function splitTaskName (taskName: string): TaskNameParts {
  const [jobId, occurrence, stepIndex] = taskName.split('.', 3)
  return {
    jobId,
    occurrence: Number(occurrence),
    stepIndex: Number(stepIndex),
    stepName: `${jobId}.${occurrence}.${stepIndex}`
  }
}

/**
 * Returns the name under which ends and checkpoints of a task count.
 * @param taskName The task.
 * @param step Its step, if it is known.
 * @returns The name of the step for a member of a gang, which ends with the other members; otherwise that of the task.
 */
export function getUnitName (taskName: string, step: StepSpecification | null): string {
  return step?.gang === true ? splitTaskName(taskName).stepName : taskName
}
