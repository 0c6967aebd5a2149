import type { JobSubmission, StepSpecification } from '../../src/jobs/index.js'
import { createStep } from './createStep.js'

/**
 * Creates a submission of a job with priority 0 that is due immediately.
 * @param steps The steps, each with the fields that differ from `createStep`.
 * @param submission The other fields that differ from the default submission.
 * @returns The submission.
 */
export function createSubmission (
  steps: Array<Partial<StepSpecification>>, submission: Partial<JobSubmission> = {}
): JobSubmission {
  return {
    jobId: 'job',
    queueName: 'queue',
    serviceName: 'desk',
    priority: 0,
    attemptLimit: 3,
    stretch: 2,
    targetLatencyMilliseconds: 400,
    acceptedAtMilliseconds: 0,
    specification: {
      taskDescription: 'text',
      steps: steps.map(createStep),
      startAtMilliseconds: 0,
      intervalMilliseconds: 0,
      repeatCount: 0
    },
    ...submission
  }
}
