import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { EMULATED_WAIT, EmulatedSite } from '../platform/EmulatedSite.js'
import type { EmulatedWorkerDescription } from '../platform/EmulatedWorkerDescription.js'
import { LostJobJudge } from '../platform/LostJobJudge.js'
import { createStoreLoss, createWorkerLoss } from '../platform/siteWideFaults.js'
import type { WorkerFaults } from '../platform/WorkerFaults.js'
import { createRandom } from '../shared/createRandom.js'
import { SEARCH_QUEUES } from './searchQueues.js'

/** What loses responses, or which workers have another fault, in a play. */
export const LOSS_KINDS = [
  'orders-lost', 'orders-late', 'reports-lost', 'reports-late', 'both-lost', 'both-late', 'store-lost', 'store-late',
  'workers-mute', 'workers-reset', 'workers-slow'
] as const

/** A kind of loss. */
export type LossKind = typeof LOSS_KINDS[number]

/** One play of the fixed site. */
export interface LossPlayOptions {
  seed: number
  kind: LossKind
  /** Share of the calls that lose their response, or of the workers that have the fault, 0 to 1. */
  share: number
}

/** What a play has shown. */
export interface LossFigures {
  /** Jobs that end, and long-running tasks, that had nothing running at the finish although there was room. */
  lostJobs: number
  lostTasks: number
  /** Mean share of the long-running tasks at work from the start of the fault to the finish, 0 to 1. */
  atWorkShare: number
  /** Jobs that end: those that clients sent, those accepted, and those all of whose tasks are done. */
  sentJobs: number
  acceptedJobs: number
  doneJobs: number
  executedStarts: number
  /** Calls that instances have sent to workers, by kind. */
  startCalls: number
  stopCalls: number
  holdCalls: number
  storeCalls: number
  storeWrites: number
  /** Runs that ended because the lease of their worker had lapsed, and the lapses. */
  lapsedRuns: number
  lapsedLeases: number
  /** Violations of the rules on single runs. */
  violations: number
}

const WORKER_COUNT = 42
const INSTANCE_COUNT = 7
const CAPACITY = { processorsMilli: 32_000, memoryMegabytes: 128_000, accelerators: 0 }
const [SHORT_QUEUE, , LASTING_QUEUE] = SEARCH_QUEUES.map(({ name }) => name)
const LASTING_JOB_COUNT = 17
const LASTING_STEP = { taskCount: 8, processorsMilli: 4000, memoryMegabytes: 8000, longRunning: true }
const SHORT_STEP = { taskCount: 4, processorsMilli: 2000, memoryMegabytes: 4000 }
const SHORT_STEPS = [SHORT_STEP, { ...SHORT_STEP, afterSteps: [0] }, { ...SHORT_STEP, afterSteps: [1] }]
const LASTING_AT_MILLISECONDS = 2000
const LASTING_INTERVAL_MILLISECONDS = 150
const SHORT_AT_MILLISECONDS = 4000
const SHORT_INTERVAL_MILLISECONDS = 500
const FAULT_AT_MILLISECONDS = 10_000
const TRAFFIC_END_MILLISECONDS = 46_000
const FINISH_AT_MILLISECONDS = 60_000
const JUDGED_MILLISECONDS = 4000
const SAMPLE_MILLISECONDS = 1000
const RETRY_MILLISECONDS = 500
const SUBMISSION_LIMIT = 6

/** Plays one fixed site, half full of long-running tasks, while a share of the responses is lost. */
export class LossPlay {
  private readonly clock = VirtualClock.create()
  private readonly site: EmulatedSite
  private readonly lostJobs: LostJobJudge
  private readonly affected = new Set<string>()
  private readonly shortJobIds: string[] = []
  private readonly acceptedJobIds = new Set<string>()

  private constructor (private readonly options: LossPlayOptions) {
    const { clock } = this
    const workers = Array.from({ length: WORKER_COUNT }, (_, index): EmulatedWorkerDescription => ({
      workerId: `worker-${index}`,
      capacity: CAPACITY,
      labels: ['a', `r${index % 4}`],
      dataCentre: index % 2 === 0 ? 'south-a' : 'south-b'
    }))
    this.site = EmulatedSite.create({
      clock, random: createRandom(options.seed), instanceCount: INSTANCE_COUNT, workers, queues: [...SEARCH_QUEUES]
    })
    this.lostJobs = LostJobJudge.create({
      site: this.site,
      clock,
      getCalmSince: () => null,
      isWorkerAffected: workerId => this.affected.has(workerId)
    })
  }

  /**
   * Plays the site.
   * @param options The seed and the fault.
   * @returns What the play has shown.
   */
  static async run (options: LossPlayOptions): Promise<LossFigures> {
    const play = new LossPlay(options)
    try {
      return await play.run()
    } finally {
      for (const worker of play.site.workers.values()) worker.shutDown()
      for (const { process } of play.site.instances) process.kill()
    }
  }

  private async run (): Promise<LossFigures> {
    const { clock, lostJobs } = this
    this.scheduleJobs()
    await lostJobs.advance(FAULT_AT_MILLISECONDS)
    this.startFault()
    let atWork = 0
    let sampleCount = 0
    while (clock.monotonicMilliseconds() < FINISH_AT_MILLISECONDS) {
      await lostJobs.advance(SAMPLE_MILLISECONDS)
      atWork += this.getAtWorkShare()
      sampleCount++
    }
    lostJobs.startFinish()
    await lostJobs.advance(JUDGED_MILLISECONDS)
    return this.createFigures(atWork / sampleCount)
  }

  private scheduleJobs (): void {
    for (let index = 0; index < LASTING_JOB_COUNT; index++) {
      this.clock.setTimer(LASTING_AT_MILLISECONDS + index * LASTING_INTERVAL_MILLISECONDS, () => {
        this.submit(`lasting${index}`, LASTING_QUEUE)
      })
    }
    for (let at = SHORT_AT_MILLISECONDS; at < TRAFFIC_END_MILLISECONDS; at += SHORT_INTERVAL_MILLISECONDS) {
      const jobId = `short${at}`
      this.shortJobIds.push(jobId)
      this.clock.setTimer(at, () => { this.submit(jobId, SHORT_QUEUE) })
    }
  }

  /** Sends a job until it is accepted. */
  private async submit (jobId: string, queueName: string): Promise<void> {
    const isLasting = queueName === LASTING_QUEUE
    const steps = isLasting ? [LASTING_STEP] : SHORT_STEPS
    const task = isLasting ? { durationMilliseconds: Infinity } : {}
    for (let attempt = 0; attempt < SUBMISSION_LIMIT && !this.acceptedJobIds.has(jobId); attempt++) {
      if (attempt > 0) await this.wait(RETRY_MILLISECONDS)
      const sent = this.site.submit(jobId, steps, task, this.site.chooseInstance(), { queueName }).then(outcome => {
        if (outcome.kind !== 'accepted' || this.acceptedJobIds.has(jobId)) return
        this.acceptedJobIds.add(jobId)
        this.lostJobs.recordAcceptedJob(jobId)
      })
      await Promise.race([sent, this.wait(EMULATED_WAIT.milliseconds)])
    }
  }

  private startFault (): void {
    const { share, kind } = this.options
    switch (kind) {
      case 'orders-lost': return this.changeWorkers(createWorkerLoss('lost', 'orders', share))
      case 'orders-late': return this.changeWorkers(createWorkerLoss('late', 'orders', share))
      case 'reports-lost': return this.changeWorkers(createWorkerLoss('lost', 'reports', share))
      case 'reports-late': return this.changeWorkers(createWorkerLoss('late', 'reports', share))
      case 'both-lost': return this.changeWorkers(createWorkerLoss('lost', 'both', share))
      case 'both-late': return this.changeWorkers(createWorkerLoss('late', 'both', share))
      case 'store-lost': return this.changeStore('lost')
      case 'store-late': return this.changeStore('late')
      case 'workers-mute': return this.changeSomeWorkers({ isMute: true })
      case 'workers-reset': return this.changeSomeWorkers({ resetShare: 1 })
      case 'workers-slow': return this.changeSomeWorkers({ slowdown: 4 })
    }
  }

  private changeWorkers (change: Partial<WorkerFaults>): void {
    for (const { faults } of this.site.workers.values()) Object.assign(faults, change)
  }

  private changeSomeWorkers (change: Partial<WorkerFaults>): void {
    const count = Math.round(this.options.share * WORKER_COUNT)
    for (const [workerId, { faults }] of [...this.site.workers].slice(0, count)) {
      this.affected.add(workerId)
      Object.assign(faults, change)
    }
  }

  private changeStore (form: 'lost' | 'late'): void {
    const change = createStoreLoss(form, this.options.share)
    for (const { tables } of this.site.instances) Object.assign(tables.faults, change)
  }

  private getAtWorkShare (): number {
    const { judge } = this.site
    const names = getTaskNames('lasting', LASTING_JOB_COUNT)
    return names.filter(name => judge.isRunning(name)).length / names.length
  }

  private createFigures (atWorkShare: number): LossFigures {
    const { site, shortJobIds, acceptedJobIds } = this
    const lostNames = [...new Set(this.lostJobs.violations.map(({ name }) => name))]
    const workers = [...site.workers.values()]
    const isDone = (jobId: string) => SHORT_STEPS.every((step, stepIndex) =>
      Array.from({ length: step.taskCount }, (_, index) => `${jobId}.0.${stepIndex}.${index}`)
        .every(name => site.judge.isDone(name)))
    return {
      lostJobs: lostNames.filter(name => !name.includes('.')).length,
      lostTasks: lostNames.filter(name => name.includes('.')).length,
      atWorkShare,
      sentJobs: shortJobIds.length,
      acceptedJobs: shortJobIds.filter(jobId => acceptedJobIds.has(jobId)).length,
      doneJobs: shortJobIds.filter(isDone).length,
      executedStarts: site.judge.startCount,
      startCalls: sum(workers.map(({ callCounts }) => callCounts.start)),
      stopCalls: sum(workers.map(({ callCounts }) => callCounts.stop)),
      holdCalls: sum(workers.map(({ callCounts }) => callCounts.hold)),
      storeCalls: sum(site.instances.map(({ tables }) => tables.callCount)),
      storeWrites: sum(site.instances.map(({ tables }) => tables.writeCount)),
      lapsedRuns: site.judge.lapsedRunWorkerIds.length,
      lapsedLeases: sum(workers.map(({ lapseCount }) => lapseCount)),
      violations: site.judge.violations.length
    }
  }

  private wait (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.clock.setTimer(milliseconds, resolve) })
  }
}

function getTaskNames (prefix: string, jobCount: number): string[] {
  return Array.from({ length: jobCount }, (_, job) => job).flatMap(job =>
    Array.from({ length: LASTING_STEP.taskCount }, (_, index) => `${prefix}${job}.0.0.${index}`))
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
