import type { CancelTimer, Clock } from '../../src/shared/Clock.js'

/** The kinds of work that use processor time in an emulated process. */
export type ProcessorWork = 'call' | 'answer' | 'connection' | 'timer' | 'request' | 'planned-job'

/** Options of an emulated processor. */
export interface EmulatedProcessorOptions {
  /** The clock of the process; its timers do not fire while the process is frozen. */
  clock: Clock
  /** The share of a core that the process gets; above 1 for a core faster than the reference core. */
  share: number
}

type Phase = 'timers' | 'answers'

interface QueuedWork {
  arrivedAt: number
  action: () => void
}

/**
 * Milliseconds of a whole core for one unit of each kind of work. A day at low load uses 12.6 s for 3,100 starts and
 * 4,500 holds, mostly in the owner: 0.8 ms for a call and its response, of which sending takes about a third.
 */
const WORK_MILLISECONDS: Record<ProcessorWork, number> = {
  call: 0.27,
  answer: 0.53,
  // With undici and a server on the same machine, a pool, its connection and a call of 0.07 ms take 1.07 ms together.
  connection: 1,
  // A timer that fires runs little code apart from the work that is charged separately.
  timer: 0.02,
  // Reading, storing and answering the submission of a client, without the call to the store.
  request: 0.5,
  // Ranking 150 queued jobs takes 0.1 ms.
  'planned-job': 0.0007
}

/**
 * Emulates the processor of a single-threaded process: timers that fall due and responses that arrive while it is busy
 * are queued until it is free. As in the event loop of Node.js, all due timers run before the responses that have
 * arrived, and the delay of a timer counts from the start of the loop iteration in which it is set.
 */
export class EmulatedProcessor {
  /** The longest time that a timer or a response was queued, in milliseconds. */
  maximumQueueDelay = 0
  /** Processor time used, in milliseconds of a whole core. */
  usedMilliseconds = 0
  private readonly queues: Record<Phase, QueuedWork[]> = { timers: [], answers: [] }
  private phase: Phase = 'timers'
  /** Number of queued items that still belong to the current phase; items queued later run in its next round. */
  private remainingInPhase = 0
  private roundStartedAt = 0
  private busyUntil = 0
  private isScheduled = false

  private constructor (private readonly options: EmulatedProcessorOptions) {}

  /**
   * Creates an idle processor.
   * @param options The clock and the share of a core.
   * @returns The processor.
   */
  static create (options: EmulatedProcessorOptions): EmulatedProcessor {
    return new EmulatedProcessor(options)
  }

  /** The clock that the code of the process reads; it includes the processor time already charged. */
  readonly clock: Clock = {
    monotonicMilliseconds: () => Math.max(this.options.clock.monotonicMilliseconds(), this.busyUntil),
    wallMilliseconds: () => this.options.clock.wallMilliseconds() + this.getBusyMilliseconds(),
    setTimer: (delay, callback): CancelTimer => {
      let cancelled = false
      const now = this.options.clock.monotonicMilliseconds()
      const startedAt = this.isScheduled ? this.roundStartedAt : now
      const cancelTimer = this.options.clock.setTimer(startedAt + delay - now, () => this.enqueue('timers', () => {
        if (cancelled) return
        this.charge('timer')
        callback()
      }))
      return () => {
        cancelled = true
        cancelTimer()
      }
    }
  }

  /**
   * Charges processor time to the running handler, which delays all queued work.
   * @param work The kind of work.
   * @param count The number of units of work.
   */
  charge (work: ProcessorWork, count = 1): void {
    const used = WORK_MILLISECONDS[work] * count
    this.usedMilliseconds += used
    this.busyUntil = this.clock.monotonicMilliseconds() + used / this.options.share
  }

  /** Returns how long the processor stays busy, in milliseconds; messages sent now leave the process after that. */
  getBusyMilliseconds (): number {
    return Math.max(0, this.busyUntil - this.options.clock.monotonicMilliseconds())
  }

  /**
   * Queues the handler of a message that has arrived, and runs it when the processor is free.
   * @param work The work to charge for the handler.
   * @param action The handler.
   */
  handle (work: ProcessorWork, action: () => void): void {
    this.enqueue('answers', () => {
      this.charge(work)
      action()
    })
  }

  /**
   * Delivers the result of a promise when the processor is free.
   * @param pending The promise.
   * @param work The work to charge for handling the result.
   * @returns A promise that settles when the process handles the result.
   */
  receive<Value> (pending: Promise<Value>, work: ProcessorWork = 'answer'): Promise<Value> {
    return new Promise((resolve, reject) => {
      pending.then(value => this.handle(work, () => resolve(value)), error => this.handle(work, () => reject(error)))
    })
  }

  private enqueue (phase: Phase, action: () => void): void {
    this.queues[phase].push({ arrivedAt: this.options.clock.monotonicMilliseconds(), action })
    if (this.isScheduled) return
    this.roundStartedAt = this.options.clock.monotonicMilliseconds()
    this.scheduleNext()
  }

  private scheduleNext (): void {
    this.isScheduled = true
    this.options.clock.setTimer(this.getBusyMilliseconds(), () => this.runNext())
  }

  private runNext (): void {
    // Work charged since this call was scheduled keeps the processor busy for longer.
    if (this.getBusyMilliseconds() > 0) return this.scheduleNext()
    const now = this.options.clock.monotonicMilliseconds()
    if (this.remainingInPhase === 0) this.startPhase(now)
    const next = this.queues[this.phase].shift()
    if (next === undefined) {
      this.isScheduled = false
      return
    }
    this.remainingInPhase--
    this.maximumQueueDelay = Math.max(this.maximumQueueDelay, now - next.arrivedAt)
    next.action()
    this.scheduleNext()
  }

  private startPhase (now: number): void {
    const other: Phase = this.phase === 'timers' ? 'answers' : 'timers'
    if (this.queues[other].length > 0) this.phase = other
    this.remainingInPhase = this.queues[this.phase].length
    this.roundStartedAt = now
  }
}
