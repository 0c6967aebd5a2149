import type { QueueConfiguration } from '../../src/instance/index.js'
import type { JobSpecification, StepSpecification } from '../../src/jobs/index.js'
import { createStep } from './createStep.js'
import type { EmulatedTask } from './EmulatedTask.js'
import { splitTaskName, type TaskRules } from './TaskRules.js'

/** The queue and the schedule of a submission. */
export interface SubmissionOptions {
  /** The default is the first queue of the site. */
  queueName?: string
  /** The time of day of the first occurrence, in milliseconds since 1970. */
  startAtMilliseconds?: number
  /** The time between the starts of two occurrences. */
  intervalMilliseconds?: number
  /** The number of occurrences; the default is 0, for a job without a schedule. */
  repeatCount?: number
  /** The client account of the caller; the default is none. */
  accountName?: string | null
}

/** The behaviour of a task that runs for a short time and completes. */
const DEFAULT_TASK = { durationMilliseconds: 800, failureCount: 0 }

/** The jobs that clients have submitted to an emulated site, whether or not they were accepted. */
export class EmulatedJobs {
  readonly specifications = new Map<string, JobSpecification>()
  /** The behaviour of all tasks of a job, by job ID, which is the first part of each task name. */
  readonly tasks = new Map<string, EmulatedTask>()
  private readonly queuesByJob = new Map<string, QueueConfiguration>()
  private readonly accountNames = new Map<string, string>()

  private constructor (readonly queues: readonly QueueConfiguration[]) {}

  /**
   * Creates a site's list of jobs, which is empty.
   * @param queues The queues of the site.
   * @returns The jobs.
   */
  static create (queues: readonly QueueConfiguration[]): EmulatedJobs {
    return new EmulatedJobs(queues)
  }

  /**
   * Records a job before it is submitted.
   * @param jobId The job.
   * @param steps The steps, each with the fields that differ from `createStep`.
   * @param task How the behaviour of its tasks differs from the default; its resources are those of the first step.
   * @param options The queue and the schedule.
   * @returns The specification to submit and the queue.
   */
  add (
    jobId: string, steps: Array<Partial<StepSpecification>>, task: Partial<EmulatedTask>, options: SubmissionOptions
  ): { specification: JobSpecification, queue: QueueConfiguration } {
    const { queueName, startAtMilliseconds = 0, intervalMilliseconds = 0, repeatCount = 0 } = options
    const queue = queueName === undefined ? this.queues[0] : this.queues.find(({ name }) => name === queueName)
    if (queue === undefined) throw new Error(`there is no queue ${queueName}`)
    const specification: JobSpecification = {
      taskDescription: 'text', steps: steps.map(createStep), startAtMilliseconds, intervalMilliseconds, repeatCount
    }
    const { processorsMilli, memoryMegabytes, accelerators } = specification.steps[0] ?? createStep({})
    this.tasks.set(jobId, { processorsMilli, memoryMegabytes, accelerators, ...DEFAULT_TASK, ...task })
    this.specifications.set(jobId, specification)
    this.queuesByJob.set(jobId, queue)
    if (options.accountName != null) this.accountNames.set(jobId, options.accountName)
    return { specification, queue }
  }

  /** Returns the queue of a job that was submitted. */
  getQueue (jobId: string): QueueConfiguration {
    return this.queuesByJob.get(jobId)!
  }

  /** Returns the client account of a job, or of the job of a task; null if it has none. */
  getAccountName (name: string): string | null {
    return this.accountNames.get(splitTaskName(name).jobId) ?? null
  }

  /** Returns the behaviour of a task of a job that was submitted. */
  getTask (taskName: string): EmulatedTask {
    return this.tasks.get(splitTaskName(taskName).jobId)!
  }

  /** Returns the step of a task, or null if no client has submitted its job. */
  getStep (taskName: string): StepSpecification | null {
    const { jobId, stepIndex } = splitTaskName(taskName)
    return this.specifications.get(jobId)?.steps[stepIndex] ?? null
  }

  /** Returns the rules of a task, or null if no client has submitted its job. */
  getRules (taskName: string): TaskRules | null {
    const { jobId, stepIndex } = splitTaskName(taskName)
    const specification = this.specifications.get(jobId)
    const queue = this.queuesByJob.get(jobId)
    const step = specification?.steps[stepIndex]
    if (specification === undefined || queue === undefined || step === undefined) return null
    return { specification, step, queue }
  }
}
