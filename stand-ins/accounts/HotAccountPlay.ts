import type { ClientAccount } from '../../src/accounts/index.js'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { EMULATED_QUEUE, EmulatedSite } from '../platform/EmulatedSite.js'
import { SearchRandom } from '../search/SearchRandom.js'
import { createRandom } from '../shared/createRandom.js'

/** Options of a play. */
export interface HotAccountOptions {
  seed: number
  /** How many times its usual rate the hot account sends; 1 for a play without a hot account. */
  factor: number
  /** The work that arrives usually, relative to what the workers can carry. */
  load: number
}

/** How many jobs accounts have submitted, and how many ended in time, or within three times that. */
export interface ServedJobs {
  submitted: number
  inTime: number
  useful: number
}

/** What a play has shown. */
export interface HotAccountFigures {
  /** The jobs that accounts submitted while the hot one sent more. */
  hotAccount: ServedJobs
  otherAccounts: ServedJobs
}

interface PlayedJob {
  jobId: string
  isHot: boolean
  submittedAt: number
  taskCount: number
}

const ACCOUNT_COUNT = 10
const WORKER_COUNT = 8
const WORKER_PROCESSORS_MILLI = 16_000
const TASK_PROCESSORS_MILLI = 4000
const LONGEST_JOB_TASKS = 12
const MEAN_TASKS = (1 + LONGEST_JOB_TASKS) / 2
const TASK_MILLISECONDS = 800
const STEP_MILLISECONDS = 100
const START_MILLISECONDS = 3000
const HOT_AT_MILLISECONDS = 8000
const HOT_MILLISECONDS = 8000
const END_MILLISECONDS = 24_000
const FINISH_MILLISECONDS = 36_000
const USEFUL_FACTOR = 3
const QUEUE = { ...EMULATED_QUEUE, targetLatencyMilliseconds: 1000 }
const OBJECTIVE_MILLISECONDS = QUEUE.stretch * TASK_MILLISECONDS + QUEUE.targetLatencyMilliseconds
const HOT_ACCOUNT = 'account-0'

/** Plays a site that is nearly full with jobs of equal accounts, one of which may send many times its usual rate. */
export class HotAccountPlay {
  private readonly clock = VirtualClock.create()
  private readonly random: SearchRandom
  private readonly site: EmulatedSite
  private readonly jobs: PlayedJob[] = []

  private constructor (private readonly options: HotAccountOptions) {
    const { clock } = this
    this.random = SearchRandom.create(options.seed)
    const cap = { processorsMilli: 0, memoryMegabytes: 0, accelerators: 0 }
    this.site = EmulatedSite.create({
      clock,
      random: createRandom(options.seed),
      instanceCount: 3,
      workerCount: WORKER_COUNT,
      queues: [QUEUE],
      accounts: Array.from({ length: ACCOUNT_COUNT }, (_, index): ClientAccount => (
        { name: `account-${index}`, keyDigests: [], weight: 1, cap }
      ))
    })
  }

  /**
   * Plays the site.
   * @param options The seed, the load and the factor.
   * @returns How the jobs were served that accounts submitted while the hot one sent more.
   */
  static async run (options: HotAccountOptions): Promise<HotAccountFigures> {
    const play = new HotAccountPlay(options)
    try {
      return await play.run()
    } finally {
      for (const worker of play.site.workers.values()) worker.shutDown()
      for (const { process } of play.site.instances) process.kill()
    }
  }

  private async run (): Promise<HotAccountFigures> {
    const { clock, options: { factor } } = this
    await clock.advance(START_MILLISECONDS)
    const due = Array.from({ length: ACCOUNT_COUNT }, () => 0)
    while (clock.monotonicMilliseconds() < END_MILLISECONDS) {
      const isHotTime = this.isHotTime(clock.monotonicMilliseconds())
      for (let index = 0; index < ACCOUNT_COUNT; index++) {
        const isHot = index === 0
        // One draw for each account in each step keeps the jobs of the others equal in plays with other factors.
        due[index] += 2 * this.random.integer(0, 1000) / 1000 * this.getJobsPerStep()
        const jobs = Math.floor(due[index])
        due[index] -= jobs
        const count = isHot && isHotTime ? Math.round(jobs * factor) : jobs
        for (let number = 0; number < count; number++) this.submit(`account-${index}`)
      }
      await clock.advance(STEP_MILLISECONDS)
    }
    await clock.advance(FINISH_MILLISECONDS - END_MILLISECONDS)
    const judged = this.jobs.filter(({ submittedAt }) => this.isHotTime(submittedAt))
    return {
      hotAccount: this.count(judged.filter(({ isHot }) => isHot)),
      otherAccounts: this.count(judged.filter(({ isHot }) => !isHot))
    }
  }

  private isHotTime (milliseconds: number): boolean {
    return milliseconds >= HOT_AT_MILLISECONDS && milliseconds < HOT_AT_MILLISECONDS + HOT_MILLISECONDS
  }

  private getJobsPerStep (): number {
    const tasksPerStep = WORKER_COUNT * WORKER_PROCESSORS_MILLI / TASK_PROCESSORS_MILLI * STEP_MILLISECONDS /
      TASK_MILLISECONDS
    return this.options.load * tasksPerStep / MEAN_TASKS / ACCOUNT_COUNT
  }

  private submit (accountName: string): void {
    const number = this.jobs.length
    const jobId = `job${number}`
    const taskCount = 1 + (number * 7) % LONGEST_JOB_TASKS
    const step = {
      taskCount,
      processorsMilli: TASK_PROCESSORS_MILLI,
      memoryMegabytes: 1000,
      estimateMilliseconds: TASK_MILLISECONDS
    }
    const submittedAt = this.clock.monotonicMilliseconds()
    this.jobs.push({ jobId, isHot: accountName === HOT_ACCOUNT, submittedAt, taskCount })
    const task = { durationMilliseconds: TASK_MILLISECONDS }
    this.site.submit(jobId, [step], task, this.site.instances[0], { accountName })
  }

  private count (jobs: readonly PlayedJob[]): ServedJobs {
    const isWithin = (job: PlayedJob, factor: number) =>
      this.getEndAt(job) - job.submittedAt <= factor * OBJECTIVE_MILLISECONDS
    return {
      submitted: jobs.length,
      inTime: jobs.filter(job => isWithin(job, 1)).length,
      useful: jobs.filter(job => isWithin(job, USEFUL_FACTOR)).length
    }
  }

  private getEndAt ({ jobId, taskCount }: PlayedJob): number {
    const { judge } = this.site
    const ends = Array.from({ length: taskCount }, (_, index) => {
      const name = `${jobId}.0.0.${index}`
      return judge.isDone(name) ? judge.getLastEndAt(name)! : Infinity
    })
    return Math.max(...ends)
  }
}
