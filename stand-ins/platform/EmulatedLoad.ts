import type { JobState, StepSpecification } from '../../src/jobs/index.js'
import type { VirtualClock } from '../../src/shared/VirtualClock.js'
import { EMULATED_WAIT, type EmulatedSite } from './EmulatedSite.js'
import type { EmulatedTask } from './EmulatedWorker.js'
import { RestartJudge } from './RestartJudge.js'

/** Options of an emulated load. */
export interface EmulatedLoadOptions {
  site: EmulatedSite
  clock: VirtualClock
  random: () => number
}

/** One kind of job in a load. */
interface JobKind {
  name: string
  jobsPerSecond: number
  /** Mean number of steps; each step runs after the previous one. */
  meanSteps: number
  step: Partial<StepSpecification>
  task: Partial<EmulatedTask>
}

/** The workload of Thuan Phat Effluent Compliance: rates, steps, tasks and durations from its requirements sheet. */
const JOB_KINDS: JobKind[] = [
  {
    name: 'check',
    jobsPerSecond: 4.08,
    meanSteps: 1.6,
    step: { taskCount: 6, processorsMilli: 1000, estimateMilliseconds: 800 },
    task: { processorsMilli: 1000, durationMilliseconds: 800 }
  },
  {
    name: 'dossier',
    jobsPerSecond: 3.56,
    meanSteps: 2,
    step: { taskCount: 8, processorsMilli: 1800, estimateMilliseconds: 2200 },
    task: { processorsMilli: 1800, durationMilliseconds: 2200 }
  },
  {
    name: 'watch',
    jobsPerSecond: 0.144,
    meanSteps: 1,
    step: { taskCount: 6, processorsMilli: 400, estimateMilliseconds: 400, longRunning: true },
    task: { processorsMilli: 400, durationMilliseconds: Infinity }
  }
]

const LONG_RUNNING_TASK_COUNT = 6
/** Interval at which jobs arrive and long-running tasks are checked. */
const INTERVAL_MILLISECONDS = 100
const STATE_TIMEOUT_MILLISECONDS = 1000

/** Submits random jobs to a site and records the accepted jobs, the owners and the downtimes of long-running tasks. */
export class EmulatedLoad {
  readonly acceptedJobs: string[] = []
  readonly longRunningJobs: string[] = []
  /** Number of times that a new owner was seen, including the first one. */
  ownerCount = 0
  /** The longest time that a long-running task has not run since the call of `measureDowntimes`. */
  longestDowntime = { taskName: '', milliseconds: 0 }
  /** Judges the downtimes of long-running tasks during all faults. */
  readonly restartJudge: RestartJudge
  private readonly downSince = new Map<string, number>()
  private measuredFrom = Infinity
  private owner: unknown = null
  private jobCount = 0

  private constructor (private readonly options: EmulatedLoadOptions) {
    this.restartJudge = RestartJudge.create(options)
  }

  /**
   * Creates a load that has submitted no jobs.
   * @param options The site, its clock and the random number generator.
   * @returns The load.
   */
  static create (options: EmulatedLoadOptions): EmulatedLoad {
    return new EmulatedLoad(options)
  }

  /**
   * Advances the clock while jobs arrive.
   * @param durationMilliseconds The time to advance by.
   * @param rate The factor on the usual arrival rates; 0 submits no jobs.
   */
  async advance (durationMilliseconds: number, rate: number): Promise<void> {
    for (let elapsed = 0; elapsed < durationMilliseconds; elapsed += INTERVAL_MILLISECONDS) {
      for (const kind of JOB_KINDS) this.submitJobs(kind, rate)
      await this.restartJudge.advance(INTERVAL_MILLISECONDS)
      this.recordOwner()
      this.recordDowntimes()
    }
  }

  /** Submits one job with many tasks, all of which are ready at once. */
  submitWideJob (taskCount: number): void {
    const { step, task } = JOB_KINDS[0]
    this.submit('wide', [{ ...step, taskCount }], task, this.acceptedJobs)
  }

  /** Starts to measure how long the long-running tasks of accepted jobs do not run. */
  measureDowntimes (): void {
    this.measuredFrom = this.options.clock.monotonicMilliseconds()
    this.downSince.clear()
  }

  /** Returns the accepted jobs that should complete by themselves and have not, each with its state. */
  async getUnfinishedJobs (): Promise<string[]> {
    const { site, clock } = this.options
    const unfinished: string[] = []
    for (const jobId of this.acceptedJobs) {
      const { instance, process } = site.chooseInstance()
      const pending = process.receive(instance.gateway.getState(jobId, EMULATED_WAIT))
      const state: { value: JobState | string } = { value: 'unanswered' }
      pending.then(outcome => { state.value = outcome.kind === 'known' ? outcome.state : outcome.kind })
      for (let elapsed = 0; elapsed < STATE_TIMEOUT_MILLISECONDS && state.value === 'unanswered'; elapsed += 10) {
        await clock.advance(10)
      }
      if (state.value !== 'completed') unfinished.push(`${jobId} ${state.value}`)
    }
    return unfinished
  }

  private submitJobs (kind: JobKind, rate: number): void {
    const { random } = this.options
    const expected = kind.jobsPerSecond * rate * INTERVAL_MILLISECONDS / 1000
    for (let remaining = expected; random() < remaining; remaining--) {
      const stepCount = Math.floor(kind.meanSteps) + (random() < kind.meanSteps % 1 ? 1 : 0)
      const steps = Array.from({ length: stepCount }, (_, index) =>
        ({ ...kind.step, afterSteps: index === 0 ? [] : [index - 1] }))
      this.submit(
        kind.name, steps, kind.task, kind.step.longRunning === true ? this.longRunningJobs : this.acceptedJobs
      )
    }
  }

  private submit (
    name: string, steps: Array<Partial<StepSpecification>>, task: Partial<EmulatedTask>, accepted: string[]
  ): void {
    const jobId = `${name}-${this.jobCount++}`
    this.options.site.submit(jobId, steps, task).then(outcome => {
      if (outcome.kind !== 'accepted') return
      accepted.push(jobId)
      if (accepted === this.longRunningJobs) this.restartJudge.recordAcceptedJob(jobId, LONG_RUNNING_TASK_COUNT)
    })
  }

  private recordOwner (): void {
    const owner = this.options.site.getOwner()
    if (owner === undefined || owner === this.owner) return
    this.owner = owner
    this.ownerCount++
  }

  private recordDowntimes (): void {
    const now = this.options.clock.monotonicMilliseconds()
    if (now < this.measuredFrom) return
    const running = new Set(this.options.site.judge.getRunningTasks())
    for (const jobId of this.longRunningJobs) {
      for (let index = 0; index < LONG_RUNNING_TASK_COUNT; index++) {
        const taskName = `${jobId}.0.0.${index}`
        if (running.has(taskName)) this.downSince.delete(taskName)
        else this.recordDowntime(taskName, now)
      }
    }
  }

  private recordDowntime (taskName: string, now: number): void {
    const since = this.downSince.get(taskName) ?? now
    this.downSince.set(taskName, since)
    if (now - since > this.longestDowntime.milliseconds) this.longestDowntime = { taskName, milliseconds: now - since }
  }
}
