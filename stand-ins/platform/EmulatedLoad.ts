import type { JobState, StepSpecification } from '../../src/jobs/index.js'
import type { VirtualClock } from '../../src/shared/VirtualClock.js'
import { EMULATED_WAIT, type EmulatedSite } from './EmulatedSite.js'
import type { EmulatedTask } from './EmulatedWorker.js'

/** Options of a load. */
export interface EmulatedLoadOptions {
  site: EmulatedSite
  clock: VirtualClock
  random: () => number
}

/** One kind of job of a load. */
interface JobKind {
  name: string
  jobsPerSecond: number
  /** The mean number of steps, each after the one before. */
  meanSteps: number
  step: Partial<StepSpecification>
  task: Partial<EmulatedTask>
}

/** The jobs of Thuan Phat Effluent Compliance: rates, steps, tasks and durations as their sheet has them. */
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
/** How often jobs arrive and lasting tasks are looked at. */
const INTERVAL_MILLISECONDS = 100
const STATE_TIMEOUT_MILLISECONDS = 1000

/** Seeded arrivals of jobs at a site, and what became of those that were accepted. */
export class EmulatedLoad {
  readonly acceptedJobs: string[] = []
  readonly longRunningJobs: string[] = []
  /** How often another process was found to be the owner, the first one included. */
  ownerCount = 0
  /** The longest wait of a lasting task for its next run since the time given to `measureDowntimes`. */
  longestDowntime = { taskName: '', milliseconds: 0 }
  private readonly downSince = new Map<string, number>()
  private measuredFrom = Infinity
  private owner: unknown = null
  private jobCount = 0

  private constructor (private readonly options: EmulatedLoadOptions) {}

  /**
   * Creates a load that has submitted nothing.
   * @param options The site, its clock and the source of chance.
   * @returns The load.
   */
  static create (options: EmulatedLoadOptions): EmulatedLoad {
    return new EmulatedLoad(options)
  }

  /**
   * Lets time pass while jobs arrive.
   * @param durationMilliseconds How long.
   * @param rate The share of the usual rates at which jobs arrive; 0 for none.
   */
  async advance (durationMilliseconds: number, rate: number): Promise<void> {
    for (let elapsed = 0; elapsed < durationMilliseconds; elapsed += INTERVAL_MILLISECONDS) {
      for (const kind of JOB_KINDS) this.submitJobs(kind, rate)
      await this.options.clock.advance(INTERVAL_MILLISECONDS)
      this.recordOwner()
      this.recordDowntimes()
    }
  }

  /** Submits one job of many tasks, which are all ready at once. */
  submitWideJob (taskCount: number): void {
    const { step, task } = JOB_KINDS[0]
    this.submit('wide', [{ ...step, taskCount }], task, this.acceptedJobs)
  }

  /** Measures from now on how long lasting tasks of accepted jobs do not run. */
  measureDowntimes (): void {
    this.measuredFrom = this.options.clock.monotonicMilliseconds()
    this.downSince.clear()
  }

  /** Returns the accepted jobs with an end that are not completed, with their states. */
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
      this.submit(kind.name, steps, kind.task, kind.step.longRunning === true ? this.longRunningJobs : this.acceptedJobs)
    }
  }

  private submit (
    name: string, steps: Array<Partial<StepSpecification>>, task: Partial<EmulatedTask>, accepted: string[]
  ): void {
    const jobId = `${name}-${this.jobCount++}`
    this.options.site.submit(jobId, steps, task).then(outcome => {
      if (outcome.kind === 'accepted') accepted.push(jobId)
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
