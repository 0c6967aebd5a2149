import type {
  HoldOutcome, HoldRequest, OrderOutcome, StartOrder, WorkerCapacity, WorkerClient
} from '../../src/dispatch/index.js'
import type { StepSpecification } from '../../src/jobs/index.js'
import type { CancelTimer, Clock } from '../../src/shared/Clock.js'
import { EmulatedRuns, type StepContext } from './EmulatedRuns.js'
import type { EmulatedTask } from './EmulatedTask.js'
import { observeChanges } from './observeChanges.js'
import type { RunJudge } from './RunJudge.js'
import { createWorkerFaults, type WorkerFaults } from './WorkerFaults.js'

export type { EmulatedTask } from './EmulatedTask.js'

/** Options of an emulated worker. */
export interface EmulatedWorkerOptions {
  workerId: string
  capacity: WorkerCapacity
  clock: Clock
  judge: RunJudge
  random: () => number
  getTask: (taskName: string) => EmulatedTask
  /** What is known of the steps of the tasks; by default, all tasks are plain ones with the resources of `getTask`. */
  steps?: StepContext
  /** The kind and the rack of the worker; the default is none. */
  labels?: string[]
  /** The service whose queues the worker runs; the default is the empty name. */
  serviceName?: string
  /** Whether starts that do not fit are rejected; the default is false. */
  guardsCapacity?: boolean
  /** Rate of the clock of the worker; the default is 1, and 0.98 is the slowest clock that the platform allows. */
  clockRate?: number
}

/** Time after which a call without a response ends as unknown. */
const CALL_TIMEOUT_MILLISECONDS = 350
/** Time after which the attempt to open a connection fails. */
const CONNECT_TIMEOUT_MILLISECONDS = 1000
/** Network delay of a call and its response together. */
const ROUND_TRIP_MILLISECONDS = 2
/** A completion under an unbroken lease counts as acknowledged this long after a report has listed it. */
const LISTING_DELAY_MILLISECONDS = 100
const CONNECTION_RESET = { kind: 'unknown', reason: 'connection reset', isConnectionBroken: true } as const
const CONNECT_TIMED_OUT = { kind: 'not-sent', reason: 'connect-timeout', hasConnectionFailed: true } as const
/** The reading of the clock of a worker at the start of each of its processes. */
const INITIAL_CLOCK_MILLISECONDS = 100_000
/** The longest lease that a worker grants, counted from the arrival of a call. */
const LONGEST_LEASE_MILLISECONDS = 6000

/** An emulated worker that follows the platform's rules on leases, epoch fencing, attempts and listed ended runs. */
export class EmulatedWorker implements WorkerClient {
  readonly faults: WorkerFaults
  /** Number of calls that instances have sent, whether or not they arrived. */
  readonly callCounts = { start: 0, stop: 0, setPace: 0, hold: 0 }
  /** Number of times that the lease has lapsed. */
  lapseCount = 0

  private isLapsed = true
  private readonly runs: EmulatedRuns
  private epoch = 0
  private leaseDeadline = 0
  private bornAt: number
  /** Time on the clock of the site at which the clock of the worker process started. */
  private clockStartedAt: number
  private alive = true
  private waiters: Array<() => void> = []
  private connectingUntil = -Infinity
  private cancelLeaseCheck: CancelTimer = () => {}

  private constructor (private readonly options: EmulatedWorkerOptions) {
    const { workerId, capacity, labels = [], serviceName = '', clock, judge, random, getTask, steps = null } = options
    const { guardsCapacity = false } = options
    this.clockStartedAt = clock.monotonicMilliseconds()
    this.bornAt = this.clockStartedAt + 1
    this.faults = observeChanges(createWorkerFaults(), () => this.runs.updateRates())
    this.runs = EmulatedRuns.create({
      workerId,
      capacity,
      labels,
      serviceName,
      clock,
      judge,
      random,
      getTask,
      guardsCapacity,
      steps,
      faults: this.faults,
      onListedEnd: () => this.notify()
    })
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

  /** Returns how many further runs of a step, or runs with the given resources, fit beside the current runs. */
  countRoom (step: StepSpecification | WorkerCapacity): number {
    return this.runs.countRoom(step)
  }

  /** Returns the resources that the current runs reserve; those of runs that are being stopped count. */
  getUsedCapacity (): WorkerCapacity {
    return this.runs.getUsedCapacity()
  }

  /** Returns the current runs. */
  getRuns (): Array<{ taskName: string, attempt: number }> {
    return this.runs.getAll().map(({ taskName, attempt }) => ({ taskName, attempt }))
  }

  async start (order: StartOrder): Promise<OrderOutcome> {
    this.callCounts.start++
    this.options.judge.recordOrder(order.taskName, this.options.workerId)
    const onLate = () => this.options.judge.recordLateOrder(order.taskName, this.options.clock.monotonicMilliseconds())
    return await this.deliverOrder(isLate => this.executeStart(order, isLate), onLate)
  }

  async stop (taskName: string, attempt: number, epoch: number): Promise<OrderOutcome> {
    this.callCounts.stop++
    return await this.deliverOrder(() => this.executeStop(taskName, attempt, epoch))
  }

  async setPace (taskName: string, attempt: number, percent: number, epoch: number): Promise<OrderOutcome> {
    this.callCounts.setPace++
    return await this.deliverOrder(() => this.executePace(taskName, attempt, percent, epoch))
  }

  async hold (request: HoldRequest): Promise<HoldOutcome> {
    this.callCounts.hold++
    await this.waitForRoundTrip()
    if (this.faults.cutOff || !this.alive) {
      return await this.failHold()
    }
    if (this.isDrawn(this.faults.resetShare)) return CONNECTION_RESET
    if (this.isDrawn(this.faults.lateReportShare)) {
      this.executeLate(() => { this.applyHold(request) })
      await this.wait(request.waitMilliseconds + CALL_TIMEOUT_MILLISECONDS)
      return { kind: 'unknown', reason: 'no answer' }
    }
    const isLost = this.isDrawn(this.faults.lostReportShare)
    const outcome = await this.executeHold(request, isLost)
    if (!this.faults.isMute && !isLost) return outcome
    await this.wait(CALL_TIMEOUT_MILLISECONDS)
    return { kind: 'unknown', reason: 'no answer' }
  }

  close (): void {}

  /** Crashes the worker process: all of its runs disappear without being reported. */
  crash (): void {
    this.alive = false
    this.runs.clear()
  }

  /** Stops the emulation and its periodic timer, which would keep the process of a test running. */
  shutDown (): void {
    this.crash()
    this.cancelLeaseCheck()
  }

  /** Starts a new incarnation of the worker process, without any state of the previous one. */
  restart (): void {
    this.alive = true
    this.clockStartedAt = this.options.clock.monotonicMilliseconds()
    this.bornAt = this.clockStartedAt + 1
    this.runs.reset()
    this.epoch = 0
    this.leaseDeadline = 0
    this.isLapsed = true
    this.cancelLeaseCheck()
    this.scheduleLeaseCheck()
  }

  private async deliverOrder (
    execute: (isLate: boolean) => OrderOutcome, onLate: () => void = () => {}
  ): Promise<OrderOutcome> {
    const { random } = this.options
    await this.waitForRoundTrip()
    if (this.faults.cutOff || !this.alive) {
      await this.wait(CALL_TIMEOUT_MILLISECONDS)
      return this.isUnableToConnect() ? CONNECT_TIMED_OUT : { kind: 'unknown', reason: 'no answer' }
    }
    if (this.isDrawn(this.faults.resetShare)) return CONNECTION_RESET
    if (random() < this.faults.lateShare) {
      onLate()
      this.executeLate(() => { execute(true) })
      await this.wait(CALL_TIMEOUT_MILLISECONDS)
      return { kind: 'unknown', reason: 'no answer' }
    }
    const outcome = execute(false)
    if (this.faults.isMute) {
      await this.wait(CALL_TIMEOUT_MILLISECONDS)
      return { kind: 'unknown', reason: 'no answer' }
    }
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
    const calledAt = this.options.clock.monotonicMilliseconds()
    await this.wait(CALL_TIMEOUT_MILLISECONDS)
    if (!this.isUnableToConnect()) return { kind: 'unknown', reason: 'no answer' }
    if (calledAt < this.connectingUntil) return { kind: 'not-sent', reason: 'queue-timeout' }
    this.connectingUntil = calledAt + CONNECT_TIMEOUT_MILLISECONDS
    return { kind: 'unknown', reason: 'connect-timeout' }
  }

  /** Draws whether a fault affects a call; faults with a share of 0 draw no number. */
  private isDrawn (share: number): boolean {
    return share > 0 && this.options.random() < share
  }

  /** Executes a call later, by whichever process of the worker lives then. */
  private executeLate (execute: () => void): void {
    const { lateMilliseconds, latenessSpreadMilliseconds } = this.faults
    const spread = latenessSpreadMilliseconds > 0 ? this.options.random() * latenessSpreadMilliseconds : 0
    this.options.clock.setTimer(lateMilliseconds + spread, () => {
      if (this.alive) execute()
    })
  }

  private isUnableToConnect (): boolean {
    return this.faults.cutOff && this.faults.failsToConnect
  }

  /** Applies what a hold says, unless a higher fencing token has been used; returns whether it was applied. */
  private applyHold ({ epoch, leaseDeadline, acknowledgedCompletion }: HoldRequest): boolean {
    if (epoch < this.epoch) return false
    this.epoch = epoch
    this.extendLease(leaseDeadline)
    this.runs.acknowledge(acknowledgedCompletion)
    return true
  }

  private async executeHold (request: HoldRequest, isLost: boolean): Promise<HoldOutcome> {
    const { bornAt } = this
    if (!this.applyHold(request)) return { kind: 'fenced' }
    if (request.waitMilliseconds > 0 && this.runs.ended.length === 0) await this.waitForRunEnd(request.waitMilliseconds)
    const isCut = this.faults.cutOff || !this.alive || this.bornAt !== bornAt
    if (isCut) return { kind: 'unknown', reason: 'no answer' }
    if (!this.faults.isMute && !isLost) this.scheduleListedCompletions()
    return {
      kind: 'reported',
      report: {
        workerMilliseconds: this.now(),
        bornAtMilliseconds: this.bornAt,
        running: this.runs.list(),
        ended: this.runs.listEnds()
      }
    }
  }

  private executeStart (order: StartOrder, isLate: boolean): OrderOutcome {
    const { unhealthyShare } = this.faults
    if (unhealthyShare > 0 && this.options.random() < unhealthyShare) return { kind: 'unhealthy' }
    if (order.epoch < this.epoch) return { kind: 'fenced' }
    this.epoch = order.epoch
    if (order.leaseDeadline <= this.now()) return { kind: 'rejected', reason: 'late' }
    this.extendLease(order.leaseDeadline)
    const result = this.runs.start(order, isLate)
    if (result !== 'started') return { kind: 'rejected', reason: result }
    return { kind: 'accepted', workerMilliseconds: this.now() }
  }

  private executeStop (taskName: string, attempt: number, epoch: number): OrderOutcome {
    if (epoch < this.epoch) return { kind: 'fenced' }
    this.epoch = epoch
    this.runs.stop(taskName, attempt)
    return { kind: 'accepted', workerMilliseconds: this.now() }
  }

  private executePace (taskName: string, attempt: number, percent: number, epoch: number): OrderOutcome {
    if (epoch < this.epoch) return { kind: 'fenced' }
    this.epoch = epoch
    this.runs.setPace(taskName, attempt, percent)
    return { kind: 'accepted', workerMilliseconds: this.now() }
  }

  /**
   * Reports each listed completion to the judge after the listing delay, unless the lease has lapsed since the run
   * ended or the worker process has restarted.
   */
  private scheduleListedCompletions (): void {
    const listed = this.runs.listEnds().filter(({ end }) => end === 'done')
    if (listed.length === 0) return
    const { bornAt } = this
    this.options.clock.setTimer(LISTING_DELAY_MILLISECONDS, () => {
      if (this.bornAt !== bornAt) return
      for (const run of listed) {
        if (!this.runs.hasLapsedSince(run)) this.options.judge.recordListedCompletion(run.taskName, run.attempt)
      }
    })
  }

  private extendLease (deadline: number | null): void {
    if (deadline === null) return
    this.leaseDeadline = Math.max(this.leaseDeadline, Math.min(deadline, this.now() + LONGEST_LEASE_MILLISECONDS))
  }

  private scheduleLeaseCheck (): void {
    this.cancelLeaseCheck = this.options.clock.setTimer(100, () => {
      const isLapsed = this.now() > this.leaseDeadline
      if (isLapsed) this.runs.lapse()
      if (isLapsed && !this.isLapsed) this.lapseCount++
      this.isLapsed = isLapsed
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
    return (clock.monotonicMilliseconds() - this.clockStartedAt) * (clockRate ?? 1) + INITIAL_CLOCK_MILLISECONDS
  }

  private waitForRoundTrip (): Promise<void> {
    return this.wait(ROUND_TRIP_MILLISECONDS)
  }

  private wait (milliseconds: number): Promise<void> {
    return new Promise(resolve => { this.options.clock.setTimer(milliseconds, resolve) })
  }
}
