import type { JobRecord } from '../../src/jobs/index.js'
import { createRandom } from '../shared/createRandom.js'
import { PlannedSite } from './PlannedSite.js'

const WORKER_COUNT = 20
const WORKER_PROCESSORS_MILLI = 16_000
const STEP_MILLISECONDS = 20
/** The processors of long-running tasks, and the time after which their jobs are cancelled on average. */
const LONG_RUNNING_SIZES = [1000, 2000, 4000]
const LONG_RUNNING_MILLISECONDS = 20_000
/** The share of the processors that long-running tasks request at the start. */
const INITIAL_SHARE = 0.9
/** The processors of urgent tasks: most are small, some are larger than the pieces that long-running tasks leave. */
const URGENT_SIZES = [500, 1000, 1000, 2000, 2000, 3000, 4000, 6000]
const URGENT_MILLISECONDS = 800
const URGENT_INTERVAL_MILLISECONDS = 250
const STRETCH = 2
const TARGET_LATENCY_MILLISECONDS = 400

/** Options of a play. */
export interface NearlyFullOptions {
  seed: number
  /** See `DispatchEngineOptions`. */
  protectsUrgentWork: boolean
  /** The work of long-running jobs that arrives, relative to the processors of the site. */
  longRunningLoad: number
  playMilliseconds: number
}

/** An urgent job of one step. */
export interface PlayedUrgentJob {
  processorsMilli: number
  submittedAt: number
  completedAt: number | null
  /** The time from submission in which the job must complete to be in time. */
  objectiveMilliseconds: number
}

/** A long-running job of one task. */
export interface PlayedLongRunningJob {
  submittedAt: number
  startedAt: number | null
  /** The longest time without a run while the workers had room for the task twice over. */
  longestAmpleWaitMilliseconds: number
}

/** What became of the jobs of a play. */
export interface NearlyFullOutcome {
  urgent: PlayedUrgentJob[]
  longRunning: PlayedLongRunningJob[]
}

/**
 * Plays a site that is nearly full of long-running jobs of several sizes, of which more wait than fit, and on which
 * urgent jobs with tasks of mixed sizes arrive.
 * @param options The seed, the load and the engine option.
 * @returns The jobs.
 */
export function playNearlyFullSite (options: NearlyFullOptions): NearlyFullOutcome {
  const { seed, protectsUrgentWork, longRunningLoad, playMilliseconds } = options
  // Separate, so that the arrivals and lifetimes do not depend on the decisions.
  const urgentRandom = createRandom(seed)
  const longRunningRandom = createRandom(seed + 1)
  const capacity = { processorsMilli: WORKER_PROCESSORS_MILLI, memoryMegabytes: 64_000, accelerators: 0 }
  const site = PlannedSite.create({ seed, workerCount: WORKER_COUNT, capacity, protectsUrgentWork })
  const urgent = new Map<string, PlayedUrgentJob>()
  const longRunning = new Map<string, PlayedLongRunningJob>()
  const ampleSince = new Map<string, number>()
  const cancellations = new Map<string, number>()
  const lifetimes = new Map<string, number>()
  const meanSize = LONG_RUNNING_SIZES.reduce((sum, size) => sum + size, 0) / LONG_RUNNING_SIZES.length
  const longRunningPerStep = longRunningLoad * WORKER_COUNT * WORKER_PROCESSORS_MILLI / meanSize *
    STEP_MILLISECONDS / LONG_RUNNING_MILLISECONDS
  const submitLongRunning = (): void => {
    const jobId = site.submit('lasting', [{ longRunning: true, processorsMilli: pick(LONG_RUNNING_SIZES, longRunningRandom) }], {
      priority: 1, queueName: 'lasting', acceptedAtMilliseconds: site.now
    })
    lifetimes.set(jobId, LONG_RUNNING_MILLISECONDS * (0.5 + longRunningRandom()))
    longRunning.set(jobId, { submittedAt: site.now, startedAt: null, longestAmpleWaitMilliseconds: 0 })
  }
  const observeLongRunning = (jobId: string, job: JobRecord): void => {
    const played = longRunning.get(jobId)!
    const { step } = [...job.occurrences.values()].map(({ steps }) => ({ step: steps[0] }))[0] ?? { step: null }
    if (step === null) return
    if (step.tasks.hasBusy()) {
      played.startedAt ??= site.now
      if (!cancellations.has(jobId)) cancellations.set(jobId, site.now + lifetimes.get(jobId)!)
      ampleSince.delete(jobId)
      return
    }
    const size = step.specification.processorsMilli
    const room = site.workers.reduce((sum, { reserved }) =>
      sum + Math.floor((WORKER_PROCESSORS_MILLI - reserved.processorsMilli) / size), 0)
    if (room < 2) ampleSince.delete(jobId)
    else if (!ampleSince.has(jobId)) ampleSince.set(jobId, site.now)
    played.longestAmpleWaitMilliseconds =
      Math.max(played.longestAmpleWaitMilliseconds, site.now - (ampleSince.get(jobId) ?? site.now))
  }
  let dueLongRunning = INITIAL_SHARE * WORKER_COUNT * WORKER_PROCESSORS_MILLI / meanSize
  let nextUrgentAt = 0
  site.advance(playMilliseconds, () => {
    dueLongRunning += longRunningPerStep * 2 * longRunningRandom()
    for (; dueLongRunning >= 1; dueLongRunning--) submitLongRunning()
    if (site.now >= nextUrgentAt && site.now < playMilliseconds * 0.75) {
      nextUrgentAt = site.now + URGENT_INTERVAL_MILLISECONDS * 2 * urgentRandom()
      const processorsMilli = pick(URGENT_SIZES, urgentRandom)
      const taskCount = 1 + Math.floor(urgentRandom() * 4)
      const step = { taskCount, processorsMilli, estimateMilliseconds: URGENT_MILLISECONDS }
      const jobId = site.submit('urgent', [step], {
        queueName: 'urgent', stretch: STRETCH, targetLatencyMilliseconds: TARGET_LATENCY_MILLISECONDS
      })
      const objectiveMilliseconds = STRETCH * URGENT_MILLISECONDS + TARGET_LATENCY_MILLISECONDS
      urgent.set(jobId, { processorsMilli, submittedAt: site.now, completedAt: null, objectiveMilliseconds })
    }
    for (const [jobId, played] of urgent) {
      if (site.engine.jobs.getState(jobId) === 'completed') played.completedAt ??= site.now
    }
    for (const job of site.engine.jobs.getJobs()) {
      const { jobId } = job.submission
      if (longRunning.has(jobId) && job.finalState === null) observeLongRunning(jobId, job)
    }
    for (const [jobId, at] of cancellations) {
      if (site.now < at) continue
      cancellations.set(jobId, Infinity)
      site.engine.cancelJob(jobId)
    }
  })
  return { urgent: [...urgent.values()], longRunning: [...longRunning.values()] }
}

function pick (sizes: readonly number[], random: () => number): number {
  return sizes[Math.floor(random() * sizes.length)]
}
