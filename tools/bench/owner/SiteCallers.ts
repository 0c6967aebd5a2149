import { EMULATED_ROUTE, type HttpPlatform } from '../../../platform/emulator/HttpPlatform.js'
import { HttpCaller } from '../../../src/shared/HttpCaller.js'
import type { EmulatedTask } from '../../../stand-ins/platform/EmulatedWorker.js'

/** Options of the callers. */
export interface SiteCallersOptions {
  callerAddress: string
  peerAddress: string
  /** Returns the emulated platform, once it exists. */
  getPlatform (): HttpPlatform
  /** Decides which jobs are submitted. */
  random: () => number
  /** Decides how long tasks run. */
  durationRandom: () => number
}

/** One kind of job of the load. */
interface JobKind {
  name: string
  jobsPerSecond: number
  meanSteps: number
  taskCounts: [smallest: number, largest: number]
  estimateMilliseconds: number
  processorsMilli: number
  checkpointMilliseconds: number
}

/** A small site near its capacity: short urgent work beside wide jobs. */
const JOB_KINDS: JobKind[] = [
  {
    name: 'check',
    jobsPerSecond: 8,
    meanSteps: 1.6,
    taskCounts: [6, 10],
    estimateMilliseconds: 800,
    processorsMilli: 1900,
    checkpointMilliseconds: 500
  },
  {
    name: 'wide',
    jobsPerSecond: 3,
    meanSteps: 1,
    taskCounts: [20, 40],
    estimateMilliseconds: 2200,
    processorsMilli: 3800,
    checkpointMilliseconds: 700
  }
]

const LONG_RUNNING_JOB_COUNT = 8
const LONG_RUNNING_TASK_COUNT = 6
const INTERVAL_MILLISECONDS = 50
const CALL_TIMEOUT_MILLISECONDS = 3000
/** Callers ask for the state of each job at this interval until it has ended. */
const STATE_INTERVAL_MILLISECONDS = 1000
/** The other processes of the site, each of which probes the owner. */
const PEER_COUNT = 65
const PROBE_INTERVAL_MILLISECONDS = 400
const JOB_ID_LENGTH = 16

/** Submits the load of a small site, asks for the states of its jobs, and probes the owner like the other processes. */
export class SiteCallers {
  /** The milliseconds from each submission of an urgent job to its first start. */
  readonly startDelays: number[] = []
  private readonly callers = HttpCaller.create({ connections: 8 })
  private readonly peers = Array.from({ length: PEER_COUNT }, () => HttpCaller.create({ connections: 1 }))
  private readonly kinds = new Map<string, JobKind>()
  private readonly submittedAt = new Map<string, number>()
  private readonly timers: NodeJS.Timeout[] = []
  private jobCount = 0

  private constructor (private readonly options: SiteCallersOptions) {}

  /**
   * Creates callers that call nobody before `start`.
   * @param options The addresses of the instance and the emulated platform.
   * @returns The callers.
   */
  static create (options: SiteCallersOptions): SiteCallers {
    return new SiteCallers(options)
  }

  /** Returns the behaviour of a task that starts, and records the delay of the first start of each job. */
  readonly startTask = (taskName: string): EmulatedTask => {
    const jobId = taskName.split('.', 1)[0]
    const kind = this.kinds.get(jobId) ?? JOB_KINDS[0]
    const submittedAt = this.submittedAt.get(jobId)
    this.submittedAt.delete(jobId)
    if (submittedAt !== undefined && kind === JOB_KINDS[0]) this.startDelays.push(performance.now() - submittedAt)
    return {
      processorsMilli: kind.processorsMilli,
      memoryMegabytes: 500,
      accelerators: 0,
      durationMilliseconds: kind.estimateMilliseconds * (0.7 + 0.6 * this.options.durationRandom()),
      failureCount: 0,
      checkpointMilliseconds: kind.checkpointMilliseconds
    }
  }

  /** Starts the calls, which go on until `stop`. */
  start (): void {
    const { peerAddress, random } = this.options
    for (let index = 0; index < LONG_RUNNING_JOB_COUNT; index++) this.submitLongRunningJob()
    this.repeat(INTERVAL_MILLISECONDS, () => {
      for (const kind of JOB_KINDS) {
        if (random() < kind.jobsPerSecond * INTERVAL_MILLISECONDS / 1000) this.submitJob(kind)
      }
    })
    for (const peer of this.peers) {
      this.timers.push(setTimeout(() => this.repeat(PROBE_INTERVAL_MILLISECONDS, () => {
        peer.call({ address: peerAddress, method: 'GET', path: '/owner', timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS })
      }), PROBE_INTERVAL_MILLISECONDS * random()))
    }
  }

  /** Ends all calls. */
  stop (): void {
    for (const timer of this.timers) clearInterval(timer)
    for (const caller of [this.callers, ...this.peers]) caller.close()
  }

  private submitJob (kind: JobKind): void {
    const { random } = this.options
    const jobId = this.createJobId()
    const stepCount = Math.floor(kind.meanSteps) + (random() < kind.meanSteps % 1 ? 1 : 0)
    const [smallest, largest] = kind.taskCounts
    const steps = Array.from({ length: stepCount }, (_, index) => ({
      count: smallest + Math.floor(random() * (largest - smallest + 1)),
      cpu: kind.processorsMilli,
      memMb: 500,
      estimateMs: kind.estimateMilliseconds,
      checkpointing: true,
      after: index === 0 ? [] : [index - 1]
    }))
    this.kinds.set(jobId, kind)
    this.submittedAt.set(jobId, performance.now())
    this.submit(jobId, steps).then(() => this.askForState(jobId))
  }

  private submitLongRunningJob (): void {
    const jobId = this.createJobId()
    this.options.getPlatform().longRunningJobs.add(jobId)
    this.submit(jobId, [{ count: LONG_RUNNING_TASK_COUNT, cpu: 1000, memMb: 500, estimateMs: 400, longRunning: true }])
  }

  private async submit (jobId: string, steps: object[]): Promise<void> {
    this.options.getPlatform().judge.recordSubmission(jobId)
    await this.call('POST', jobId, JSON.stringify({ taskSpec: 'text', steps }))
  }

  private askForState (jobId: string): void {
    const timer = setInterval(async () => {
      const response = await this.call('GET', jobId)
      const hasEnded = response.kind === 'answered' && !/pending|running/.test(response.body.toString())
      if (hasEnded) clearInterval(timer)
    }, STATE_INTERVAL_MILLISECONDS)
    this.timers.push(timer)
  }

  private async call (method: 'GET' | 'POST', jobId: string, body?: string) {
    return await this.callers.call({
      address: this.options.callerAddress,
      method,
      path: `${EMULATED_ROUTE.prefix}${jobId}`,
      headers: { host: EMULATED_ROUTE.host },
      body,
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS
    })
  }

  private createJobId (): string {
    const digit = Math.floor(this.options.random() * 16).toString(16)
    return `${digit}${(this.jobCount++).toString(16).padStart(JOB_ID_LENGTH - 1, '0')}`
  }

  private repeat (milliseconds: number, work: () => void): void {
    this.timers.push(setInterval(work, milliseconds))
  }
}
