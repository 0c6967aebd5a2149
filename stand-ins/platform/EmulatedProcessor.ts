import type { CancelTimer, Clock } from '../../src/shared/Clock.js'

/** Work that an emulated process is charged for. */
export type ProcessorWork = 'call' | 'answer' | 'connection' | 'timer' | 'request' | 'planned-job'

/** Options of a processor. */
export interface EmulatedProcessorOptions {
  /** The clock of the process; its timers stand still while the process does. */
  clock: Clock
  /** The share of a core that the process gets; above 1 for a core that is faster than the one measured on. */
  share: number
}

type Phase = 'timers' | 'answers'

interface QueuedWork {
  arrivedAt: number
  action: () => void
}

/**
 * Milliseconds of a whole core for each piece of work. A quiet day takes 12.6 s for 3,100 starts and 4,500 holds, most
 * of it in the owner: 0.8 ms for a call and its answer, of which a third is assumed to be the sending.
 */
const WORK_MILLISECONDS: Record<ProcessorWork, number> = {
  call: 0.27,
  answer: 0.53,
  // Measured with undici and a server on the same machine: 1.07 ms for a pool, its connection and a call of 0.07 ms.
  connection: 1,
  // Assumed: a timer that fires runs little code of its own.
  timer: 0.02,
  // Assumed: a client's submission is read, stored and answered, the store's call not included.
  request: 0.5,
  // Measured: ranking 150 jobs that wait takes 0.1 ms.
  'planned-job': 0.0007
}

/**
 * The processor of one process, which does one thing at a time: timers and answers that come while it works wait until
 * it is free. As in Node.js, all timers that are due run before the answers that have arrived, and delays count from
 * the beginning of the round in which a timer is set.
 */
export class EmulatedProcessor {
  /** The longest time that a timer or an answer had to wait, in milliseconds. */
  maximumQueueDelay = 0
  /** Milliseconds of a whole core that were used. */
  usedMilliseconds = 0
  private readonly queues: Record<Phase, QueuedWork[]> = { timers: [], answers: [] }
  private phase: Phase = 'timers'
  /** How much of the waiting work belongs to the current round of the phase. */
  private remainingInPhase = 0
  private roundStartedAt = 0
  private busyUntil = 0
  private isScheduled = false

  private constructor (private readonly options: EmulatedProcessorOptions) {}

  /**
   * Creates a processor that is free.
   * @param options The clock and the share of a core.
   * @returns The processor.
   */
  static create (options: EmulatedProcessorOptions): EmulatedProcessor {
    return new EmulatedProcessor(options)
  }

  /** The clock as the code of the process sees it: time passes while it works. */
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
   * Adds work to what the process does now.
   * @param work The kind of work.
   * @param count How often it is done.
   */
  charge (work: ProcessorWork, count = 1): void {
    const used = WORK_MILLISECONDS[work] * count
    this.usedMilliseconds += used
    this.busyUntil = this.clock.monotonicMilliseconds() + used / this.options.share
  }

  /** Returns how long what is sent now stays in the process, in milliseconds. */
  getBusyMilliseconds (): number {
    return Math.max(0, this.busyUntil - this.options.clock.monotonicMilliseconds())
  }

  /**
   * Handles something that arrives, when the process is free.
   * @param work What its handling costs.
   * @param action The handler.
   */
  handle (work: ProcessorWork, action: () => void): void {
    this.enqueue('answers', () => {
      this.charge(work)
      action()
    })
  }

  /**
   * Hands a result to the process when it is free.
   * @param pending The result.
   * @param work What its handling costs.
   * @returns The result as the process gets it.
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
    // Work that was charged after this was scheduled comes first.
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
