import type { JobSubmission, StepSpecification } from '../../src/jobs/index.js'
import { createStep } from './createStep.js'

/**
 * Creates a submission of an urgent job that is due at once.
 * @param steps What differs from steps of one small task.
 * @param submission What else differs.
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
