/** What the tasks of one step of a job need and how they behave. */
export interface StepSpecification {
  taskCount: number
  /** Thousandths of a processor. */
  processorsMilli: number
  memoryMegabytes: number
  accelerators: number
  /** A rough guess by the submitter, often far off. */
  estimateMilliseconds: number
  /** Indexes of earlier steps whose tasks must all be done first. */
  afterSteps: number[]
  checkpointing: boolean
  /** The tasks work only while all of them run. */
  gang: boolean
  /** The tasks are slower when they run on more than one rack. */
  rackSensitive: boolean
  /** A label that the worker must have; empty for any. */
  requiredLabel: string
  /** The rack that holds the data; empty for any. */
  preferredRack: string
  /** The greatest number of tasks of the step on one worker; 0 for no limit. */
  maximumPerWorker: number
  /** Copies of a task may run in parallel; the first that finishes counts. */
  speculative: boolean
  /** The tasks run until the job is cancelled. */
  longRunning: boolean
  /** Names the program of the tasks; tasks of one image behave alike. */
  image: string
  /** Bound of the tail latency that a serving task must keep, in milliseconds; 0 for none. */
  targetMilliseconds: number
  /** The processors are taken from what other tasks leave unused and are not reserved. */
  fills: boolean
  /** How many tasks of a long-running step may be away at once through the scheduler's own actions. */
  maximumAway: number
}

/** What a submitter asked for. */
export interface JobSpecification {
  /** Opaque text that the worker needs to run the tasks. */
  taskDescription: string
  steps: StepSpecification[]
  /** The time of day of the first occurrence, in milliseconds since 1970; 0 for a job without schedule. */
  startAtMilliseconds: number
  intervalMilliseconds: number
  /** How often the steps run; 0 for a job without schedule. */
  repeatCount: number
}

/** A job as it was accepted, with the rules of its queue at that moment. */
export interface JobSubmission {
  jobId: string
  queueName: string
  serviceName: string
  /** 0 comes first. */
  priority: number
  /** A task that failed this often makes the job fail. */
  attemptLimit: number
  /** The objective is this multiple of the job's longest chain of work, plus `targetLatencyMilliseconds`. */
  stretch: number
  targetLatencyMilliseconds: number
  /** The time of day at which the job was accepted, in milliseconds since 1970. */
  acceptedAtMilliseconds: number
  specification: JobSpecification
}

/** The state of a job as its submitter sees it. */
export type JobState = 'pending' | 'running' | 'completed' | 'failed' | 'cancelled'

/** The states that a job never leaves. */
export type FinalJobState = 'completed' | 'failed' | 'cancelled'
