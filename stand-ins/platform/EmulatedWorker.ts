import type {
  HoldOutcome, HoldRequest, ListedCompletion, OrderOutcome, RunOutcome, StartOrder, WorkerCapacity, WorkerClient
} from '../../src/dispatch/index.js'
import type { CancelTimer, Clock } from '../../src/shared/Clock.js'
import type { RunJudge } from './RunJudge.js'
import { createWorkerFaults } from './WorkerFaults.js'

/** The resources and the behaviour of an emulated task. */
export interface EmulatedTask extends WorkerCapacity {
  /** Time until a run ends by itself; Infinity for a task that runs until it is stopped. */
  durationMilliseconds: number
  /** Number of runs of the task that fail before one succeeds. */
  failureCount: number
  /** Time between two checkpoints of a run; by default, runs make none. */
  checkpointMilliseconds?: number
}

/** Options of an emulated worker. */
export interface EmulatedWorkerOptions {
  workerId: string
  capacity: WorkerCapacity
  clock: Clock
  judge: RunJudge
  random: () => number
  getTask: (taskName: string) => EmulatedTask
  /** Rate of the clock of the worker; the default is 1, and 0.98 is the slowest clock that the platform allows. */
  clockRate?: number
}

interface Run {
  taskName: string
  attempt: number
  task: EmulatedTask
  startedAt: number
  checkpoint: string
  /** The share of its processors that the run uses; the emulation does not slow it down. */
  pacePercent: number
  cancelCompletion: CancelTimer
}

/** Time after which a call without a response ends as unknown. */
const CALL_TIMEOUT_MILLISECONDS = 350
/** Time after which the attempt to open a connection fails. */
const CONNECT_TIMEOUT_MILLISECONDS = 1000
/** Network delay of a call and its response together. */
const ROUND_TRIP_MILLISECONDS = 2
const STOP_MILLISECONDS = 50
/** A completion under an unbroken lease counts as acknowledged this long after a report has listed it. */
const LISTING_DELAY_MILLISECONDS = 100
const CONNECT_TIMED_OUT = { kind: 'not-sent', reason: 'connect-timeout', hasConnectionFailed: true } as const
/** Offset of the clock of a worker from the clock of the site. */
const CLOCK_OFFSET_MILLISECONDS = 100_000

/** An emulated worker that follows the platform's rules on leases, epoch fencing, attempts and listed ended runs. */
export class EmulatedWorker implements WorkerClient {
  readonly faults = createWorkerFaults()

  private readonly runs = new Map<string, Run>()
  private readonly highestAttempts = new Map<string, number>()
  private endedRuns: ListedCompletion[] = []
  /** Runs that ended before or during a lapse of the lease; starting their tasks again is allowed. */
  private readonly endedUnderLapsedLease = new WeakSet<ListedCompletion>()
  private endedRunCount = 0
  private epoch = 0
  private leaseDeadline = 0
  private bornAt: number
  private alive = true
  private waiters: Array<() => void> = []
  private connectingUntil = -Infinity
  private cancelLeaseCheck: CancelTimer = () => {}

  private constructor (private readonly options: EmulatedWorkerOptions) {
    this.bornAt = options.clock.monotonicMilliseconds() + 1
    this.scheduleLeaseCheck()
  }

  /**
   * Creates an idle worker.
   * @param options The worker ID, its capacity, and the emulated behaviour of its tasks.
   * @returns The worker.
   */
  static create (options: EmulatedWorkerOptions): EmulatedWorker {
    return new EmulatedWorker(options)
  }

  get bornAtMilliseconds (): number {
    return this.bornAt
  }

  get isAlive (): boolean {
    return this.alive
  }

  /** Time until the lease ends on the clock of the site, negative if it has ended. */
  get leaseRemainingMilliseconds (): number {
    return (this.leaseDeadline - this.now()) / (this.options.clockRate ?? 1)
  }

  /** Returns how many runs of a task fit beside the current runs. */
  countRoom (task: WorkerCapacity): number {
    const { capacity } = this.options
    const tasks = [...this.runs.values()].map(run => run.task)
    const getRoom = (dimension: 'processorsMilli' | 'memoryMegabytes') =>
      (capacity[dimension] - tasks.reduce((sum, other) => sum + other[dimension], 0)) / task[dimension]
    return Math.floor(Math.min(getRoom('processorsMilli'), getRoom('memoryMegabytes')))
  }

  async start (order: StartOrder): Promise<OrderOutcome> {
    this.options.judge.recordOrder(order.taskName, this.options.workerId)
    return await this.deliverOrder(() => this.executeStart(order))
  }

  async stop (taskName: string, attempt: number, epoch: number): Promise<OrderOutcome> {
    return await this.deliverOrder(() => this.executeStop(taskName, attempt, epoch))
  }

  async setPace (taskName: string, attempt: number, percent: number, epoch: number): Promise<OrderOutcome> {
    return await this.deliverOrder(() => this.executePace(taskName, attempt, percent, epoch))
  }

  async hold (request: HoldRequest): Promise<HoldOutcome> {
    await this.waitForRoundTrip()
    if (this.faults.cutOff || !this.alive) {
      return await this.failHold()
    }
    if (request.epoch < this.epoch) return { kind: 'fenced' }
    this.epoch = request.epoch
    this.extendLease(request.leaseDeadline)
    this.acknowledge(request.acknowledgedCompletion)
    if (request.waitMilliseconds > 0 && this.endedRuns.length === 0) await this.waitForRunEnd(request.waitMilliseconds)
    if (this.faults.cutOff || !this.alive) return { kind: 'unknown', reason: 'no answer' }
    this.scheduleListedCompletions()
    return {
      kind: 'reported',
      report: {
        workerMilliseconds: this.now(),
        bornAtMilliseconds: this.bornAt,
        running: [...this.runs.values()].map(run => ({
          taskName: run.taskName,
          attempt: run.attempt,
          checkpoint: this.getCheckpoint(run),
          percent: this.getPercent(run),
          usageFigure: Math.round(run.task.processorsMilli * run.pacePercent / 100)
        })),
        ended: [...this.endedRuns]
      }
    }
  }

  close (): void {}

  /** Crashes the worker process: all of its runs disappear without being reported. */
  crash (): void {
    this.alive = false
    for (const run of [...this.runs.values()]) this.removeRun(run)
  }

  /** Stops the emulation and its periodic timer, which would keep the process of a test running. */
  shutDown (): void {
    this.crash()
    this.cancelLeaseCheck()
  }

  /** Starts a new incarnation of the worker process, without any state of the previous one. */
  restart (): void {
    this.alive = true
    this.bornAt = this.options.clock.monotonicMilliseconds() + 1
    this.endedRuns = []
    this.endedRunCount = 0
    this.epoch = 0
    this.leaseDeadline = 0
    this.highestAttempts.clear()
  }

  private async deliverOrder (execute: () => OrderOutcome): Promise<OrderOutcome> {
    const { random, clock } = this.options
    await this.waitForRoundTrip()
    if (this.faults.cutOff || !this.alive) {
      await this.wait(CALL_TIMEOUT_MILLISECONDS)
      return this.isUnableToConnect() ? CONNECT_TIMED_OUT : { kind: 'unknown', reason: 'no answer' }
    }
    if (random() < this.faults.lateShare) {
      const { bornAt } = this
      clock.setTimer(this.faults.lateMilliseconds, () => { if (this.alive && this.bornAt === bornAt) execute() })
      await this.wait(CALL_TIMEOUT_MILLISECONDS)
      return { kind: 'unknown', reason: 'no answer' }
    }
    const outcome = execute()
    if (random() < this.faults.lostAnswerShare) {
      await this.wait(CALL_TIMEOUT_MILLISECONDS)
      return { kind: 'unknown', reason: 'answer lost' }
    }
    return outcome
  }

  /**
   * Ends a hold that gets no response. Without an open connection, it ends before the attempt to open one, and a hold
   * during that attempt ends in the queue, as in `platform/RunnerClient.ts`.
   */
  private async failHold (): Promise<HoldOutcome> {
    const calledAt = this.now()
    await this.wait(CALL_TIMEOUT_MILLISECONDS)
    if (!this.isUnableToConnect()) return { kind: 'unknown', reason: 'no answer' }
    if (calledAt < this.connectingUntil) return { kind: 'not-sent', reason: 'queue-timeout' }
    this.connectingUntil = calledAt + CONNECT_TIMEOUT_MILLISECONDS
    return { kind: 'unknown', reason: 'connect-timeout' }
  }

  private isUnableToConnect (): boolean {
    return this.faults.cutOff && this.faults.failsToConnect
  }

  private executeStart (order: StartOrder): OrderOutcome {
    const { options } = this
    if (order.epoch < this.epoch) return { kind: 'fenced' }
    this.epoch = order.epoch
    if (order.leaseDeadline <= this.now()) return { kind: 'rejected', reason: 'late' }
    this.extendLease(order.leaseDeadline)
    const key = `${order.taskName}#${order.attempt}`
    if (this.runs.has(key)) return { kind: 'accepted', workerMilliseconds: this.now() }
    if (order.attempt <= (this.highestAttempts.get(order.taskName) ?? 0)) return { kind: 'rejected', reason: 'old' }
    const task = options.getTask(order.taskName)
    const run: Run = {
      taskName: order.taskName,
      attempt: order.attempt,
      task,
      startedAt: this.now(),
      checkpoint: order.checkpoint,
      pacePercent: 100,
      cancelCompletion: () => {}
    }
    this.runs.set(key, run)
    const used = [...this.runs.values()].reduce((sum, other) => sum + other.task.processorsMilli, 0)
    options.judge.recordStart(
      order.taskName, order.attempt, options.workerId, used <= options.capacity.processorsMilli
    )
    if (task.durationMilliseconds !== Infinity) {
      run.cancelCompletion = options.clock.setTimer(task.durationMilliseconds, () => this.completeRun(run))
    }
    return { kind: 'accepted', workerMilliseconds: this.now() }
  }

  private executeStop (taskName: string, attempt: number, epoch: number): OrderOutcome {
    if (epoch < this.epoch) return { kind: 'fenced' }
    this.epoch = epoch
    this.highestAttempts.set(taskName, Math.max(attempt, this.highestAttempts.get(taskName) ?? 0))
    const run = this.runs.get(`${taskName}#${attempt}`)
    if (run !== undefined) this.options.clock.setTimer(STOP_MILLISECONDS, () => this.endRun(run, 'stopped'))
    return { kind: 'accepted', workerMilliseconds: this.now() }
  }

  private executePace (taskName: string, attempt: number, percent: number, epoch: number): OrderOutcome {
    if (epoch < this.epoch) return { kind: 'fenced' }
    this.epoch = epoch
    const run = this.runs.get(`${taskName}#${attempt}`)
    if (run !== undefined) run.pacePercent = percent
    return { kind: 'accepted', workerMilliseconds: this.now() }
  }

  /** Returns the latest checkpoint of a run, which is that of an earlier run until it makes one. */
  private getCheckpoint (run: Run): string {
    const { checkpointMilliseconds = Infinity } = run.task
    const count = Math.floor((this.now() - run.startedAt) / checkpointMilliseconds)
    return count > 0 ? `${run.taskName}#${run.attempt} checkpoint ${count}` : run.checkpoint
  }

  private getPercent (run: Run): number {
    const { durationMilliseconds } = run.task
    if (durationMilliseconds === Infinity) return 100
    return Math.min(99, Math.floor((this.now() - run.startedAt) / durationMilliseconds * 100))
  }

  private completeRun (run: Run): void {
    const { failureCounts } = this.options.judge
    const failed = failureCounts.get(run.taskName) ?? 0
    if (failed < run.task.failureCount) {
      failureCounts.set(run.taskName, failed + 1)
      this.endRun(run, 'failed')
    } else {
      this.endRun(run, 'done')
    }
  }

  private endRun (run: Run, outcome: RunOutcome): void {
    if (!this.runs.has(`${run.taskName}#${run.attempt}`)) return
    this.removeRun(run)
    this.endedRunCount++
    if (outcome === 'done') this.options.judge.recordCompletion(run.taskName, run.attempt)
    if (outcome === 'lapsed') this.options.judge.recordLapse(this.options.workerId)
    this.endedRuns.push({
      number: this.endedRunCount,
      taskName: run.taskName,
      attempt: run.attempt,
      end: outcome,
      checkpoint: this.getCheckpoint(run)
    })
    this.notify()
  }

  private removeRun (run: Run): void {
    const { taskName, attempt } = run
    run.cancelCompletion()
    this.runs.delete(`${taskName}#${attempt}`)
    this.highestAttempts.set(taskName, Math.max(attempt, this.highestAttempts.get(taskName) ?? 0))
    this.options.judge.recordRunEnd(taskName, attempt, this.options.workerId)
  }

  private acknowledge (number: number): void {
    for (const ended of this.endedRuns) {
      if (ended.number <= number && ended.end === 'done') this.options.judge.recordAcknowledgedCompletion(ended.taskName)
    }
    this.endedRuns = this.endedRuns.filter(ended => ended.number > number)
  }

  /**
   * Reports each listed completion to the judge after the listing delay, unless the lease has lapsed since the run
   * ended or the worker process has restarted.
   */
  private scheduleListedCompletions (): void {
    const listed = this.endedRuns.filter(({ end }) => end === 'done')
    if (listed.length === 0) return
    const { bornAt } = this
    this.options.clock.setTimer(LISTING_DELAY_MILLISECONDS, () => {
      if (this.bornAt !== bornAt) return
      for (const run of listed) {
        if (!this.endedUnderLapsedLease.has(run)) this.options.judge.recordListedCompletion(run.taskName, run.attempt)
      }
    })
  }

  private extendLease (deadline: number | null): void {
    if (deadline !== null) this.leaseDeadline = Math.max(this.leaseDeadline, deadline)
  }

  private scheduleLeaseCheck (): void {
    this.cancelLeaseCheck = this.options.clock.setTimer(100, () => {
      if (this.now() > this.leaseDeadline) {
        for (const run of [...this.runs.values()]) this.endRun(run, 'lapsed')
        for (const ended of this.endedRuns) this.endedUnderLapsedLease.add(ended)
      }
      this.scheduleLeaseCheck()
    })
  }

  private waitForRunEnd (milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.options.clock.setTimer(milliseconds, resolve)
      this.waiters.push(() => {
        cancel()
        resolve()
      })
    })
  }

  private notify (): void {
    const { waiters } = this
    this.waiters = []
    for (const waiter of waiters) waiter()
  }

  private now (): number {
    const { clock, clockRate } = this.options
    return clock.monotonicMilliseconds() * (clockRate ?? 1) + CLOCK_OFFSET_MILLISECONDS
  }

  private waitForRoundTrip (): Promise<void> {
    return this.wait(ROUND_TRIP_MILLISECONDS)
  }

  private wait (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.options.clock.setTimer(milliseconds, resolve) })
  }
}
