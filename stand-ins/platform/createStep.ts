import type { StepSpecification } from '../../src/jobs/index.js'

/**
 * Creates a step with one small task.
 * @param step The fields that differ from the default step.
 * @returns The step.
 */
export function createStep (step: Partial<StepSpecification>): StepSpecification {
  return {
    taskCount: 1,
    processorsMilli: 1000,
    memoryMegabytes: 1000,
    accelerators: 0,
    estimateMilliseconds: 800,
    afterSteps: [],
    checkpointing: false,
    gang: false,
    rackSensitive: false,
    requiredLabel: '',
    preferredRack: '',
    maximumPerWorker: 0,
    speculative: false,
    longRunning: false,
    image: '',
    targetMilliseconds: 0,
    fills: false,
    maximumAway: 0,
    ...step
  }
}
