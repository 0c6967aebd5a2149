import type {
  HoldOutcome, HoldRequest, ListedCompletion, OrderOutcome, RunOutcome, StartOrder, WorkerCapacity, WorkerClient
} from '../../src/dispatch/index.js'
import type { CancelTimer, Clock } from '../../src/shared/Clock.js'
import type { RunJudge } from './RunJudge.js'

/** What the emulator knows of a task beside its name. */
export interface EmulatedTask extends WorkerCapacity {
  /** How long the task works; Infinity for one that runs until it is stopped. */
  durationMilliseconds: number
  /** How many of its first runs fail. */
  failureCount: number
}

/** Faults that a test switches on; all may be changed at any time. */
export interface WorkerFaults {
  /** Nothing comes through, in either direction. */
  cutOff: boolean
  /** Share of the orders, 0 to 1, whose answer is lost after they were carried out. */
  lostAnswerShare: number
  /** Share of the orders, 0 to 1, that get no answer and are carried out later. */
  lateShare: number
  lateMilliseconds: number
}

/** Options of a worker. */
export interface EmulatedWorkerOptions {
  workerId: string
  capacity: WorkerCapacity
  clock: Clock
  judge: RunJudge
  random: () => number
  getTask: (taskName: string) => EmulatedTask
}

interface Run {
  taskName: string
  attempt: number
  task: EmulatedTask
  startedAt: number
  checkpoint: string
  cancelCompletion: CancelTimer
}

/** How long a call takes that nothing answers. */
const CALL_TIMEOUT_MILLISECONDS = 350
/** The way of a call and its answer. */
const ROUND_TRIP_MILLISECONDS = 2
const STOP_MILLISECONDS = 50
/** With no fault near, an end counts as taken note of this long after it was listed. */
const LISTING_DELAY_MILLISECONDS = 100
/** The clock of a worker does not begin at zero. */
const CLOCK_OFFSET_MILLISECONDS = 100_000

/** An emulated worker that keeps the platform's rules of leases, fences, attempts and listed ends. */
export class EmulatedWorker implements WorkerClient {
  readonly faults: WorkerFaults = { cutOff: false, lostAnswerShare: 0, lateShare: 0, lateMilliseconds: 4000 }
  private readonly runs = new Map<string, Run>()
  private readonly highestAttempts = new Map<string, number>()
  private endedRuns: ListedCompletion[] = []
  /** Ends during or before a lapse of the lease, in which a later start is allowed. */
  private readonly endedUnderLapsedLease = new WeakSet<ListedCompletion>()
  private endedRunCount = 0
  private epoch = 0
  private leaseDeadline = 0
  private bornAt: number
  private alive = true
  private waiters: Array<() => void> = []
  private cancelLeaseCheck: CancelTimer = () => {}

  private constructor (private readonly options: EmulatedWorkerOptions) {
    this.bornAt = options.clock.monotonicMilliseconds() + 1
    this.scheduleLeaseCheck()
  }

  /**
   * Creates a worker that runs nothing.
   * @param options The worker and its tasks.
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

  async start (order: StartOrder): Promise<OrderOutcome> {
    return await this.deliverOrder(() => this.executeStart(order))
  }

  async stop (taskName: string, attempt: number, epoch: number): Promise<OrderOutcome> {
    return await this.deliverOrder(() => this.executeStop(taskName, attempt, epoch))
  }

  async setPace (): Promise<OrderOutcome> {
    return await this.deliverOrder(() => ({ kind: 'accepted', workerMilliseconds: this.now() }))
  }

  async hold (request: HoldRequest): Promise<HoldOutcome> {
    await this.waitForRoundTrip()
    if (this.faults.cutOff || !this.alive) {
      await this.wait(CALL_TIMEOUT_MILLISECONDS)
      return { kind: 'unknown', reason: 'no answer' }
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
          checkpoint: run.checkpoint,
          percent: this.getPercent(run),
          usageFigure: run.task.processorsMilli
        })),
        ended: [...this.endedRuns]
      }
    }
  }

  close (): void {}

  /** Ends the process without a word; everything that ran is gone. */
  crash (): void {
    this.alive = false
    for (const run of [...this.runs.values()]) this.removeRun(run)
  }

  /** Ends the emulation, with the timer that would keep a test's process alive. */
  shutDown (): void {
    this.crash()
    this.cancelLeaseCheck()
  }

  /** Starts the process again, which knows nothing of before. */
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
      return { kind: 'unknown', reason: 'no answer' }
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
      cancelCompletion: () => {}
    }
    this.runs.set(key, run)
    const used = [...this.runs.values()].reduce((sum, other) => sum + other.task.processorsMilli, 0)
    options.judge.recordStart(order.taskName, order.attempt, options.workerId, used <= options.capacity.processorsMilli)
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
    this.endedRuns.push({
      number: this.endedRunCount, taskName: run.taskName, attempt: run.attempt, end: outcome, checkpoint: run.checkpoint
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
    for (const end of this.endedRuns) {
      if (end.number <= number && end.end === 'done') this.options.judge.recordAcknowledgedCompletion(end.taskName)
    }
    this.endedRuns = this.endedRuns.filter(end => end.number > number)
  }

  /** An end that was listed counts as taken note of, unless the lease has lapsed since the end. */
  private scheduleListedCompletions (): void {
    const listed = this.endedRuns.filter(({ end }) => end === 'done')
    if (listed.length === 0) return
    const { bornAt } = this
    this.options.clock.setTimer(LISTING_DELAY_MILLISECONDS, () => {
      if (this.bornAt !== bornAt) return
      for (const end of listed) {
        if (!this.endedUnderLapsedLease.has(end)) this.options.judge.recordListedCompletion(end.taskName, end.attempt)
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
        for (const end of this.endedRuns) this.endedUnderLapsedLease.add(end)
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
    return this.options.clock.monotonicMilliseconds() + CLOCK_OFFSET_MILLISECONDS
  }

  private waitForRoundTrip (): Promise<void> {
    return this.wait(ROUND_TRIP_MILLISECONDS)
  }

  private wait (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.options.clock.setTimer(milliseconds, resolve) })
  }
}
