import type { CancelTimer, Clock } from '../../src/shared/Clock.js'
import type { ObjectStore, TableService } from '../../src/table/TableService.js'
import type { ExchangeOutcome, WorkerClient, WorkerExchange } from '../../src/workers/WorkerProtocol.js'

/** Probabilities, from 0 to 1, of the faults in a process's messages to workers and writes to the store. */
export interface LinkFaults {
  /** Exchanges that are delivered twice, the second time after a delay. */
  duplicateShare: number
  /** Exchanges that are delivered with a delay while the sender gets a timeout. */
  lateShare: number
  /** Exchanges that the worker executes but whose response is lost. */
  lostAnswerShare: number
  /** Store transactions whose outcome is reported as unknown and that are applied after a delay. */
  lateWriteShare: number
}

/** The dependencies of a simulated process. */
export interface SimulatedProcessOptions {
  clock: Clock
  random: () => number
  store: TableService & ObjectStore
  workerClient: WorkerClient
}

/** How long a sender waits for a response, in milliseconds. */
const TIMEOUT_MILLISECONDS = 2000
/** The maximum delay of late and duplicate messages; longer than the window in which workers accept a start. */
const MAXIMUM_DELAY_MILLISECONDS = 9000

/**
 * The clock, store and workers as one simulated process sees them. The process can be killed, frozen or disconnected
 * at any moment.
 */
export class SimulatedProcess {
  readonly faults: LinkFaults = { duplicateShare: 0, lateShare: 0, lostAnswerShare: 0, lateWriteShare: 0 }
  /** Workers whose exchanges with this process time out without being delivered. */
  readonly unreachableWorkers = new Set<string>()
  /** Workers that refuse connections, so that the process knows that the exchange was not sent. */
  readonly refusingWorkers = new Set<string>()
  isStoreUnreachable = false
  /** Store reads fail while transactions succeed, as when only the read path of the store is overloaded. */
  areStoreReadsFailing = false
  /** When positive, freezes the process for this time just before it sends its next start to a worker. */
  freezeBeforeStartMilliseconds = 0
  /** When positive, freezes the process for this time just before it writes its next journal batch. */
  freezeBeforeWriteMilliseconds = 0
  private alive = true
  private frozenUntil = 0
  private suspendedMilliseconds = 0
  private suspendedUntil = 0
  /** How far the time of day of the process is ahead of that of the site, negative if it is behind. */
  clockStepMilliseconds = 0
  private readonly deferredActions: Array<() => void> = []

  private constructor (private readonly options: SimulatedProcessOptions) {}

  /**
   * Creates a running process without faults.
   * @param options The dependencies of the process.
   * @returns The process.
   */
  static create (options: SimulatedProcessOptions): SimulatedProcess {
    return new SimulatedProcess(options)
  }

  isAlive (): boolean {
    return this.alive
  }

  isFrozen (): boolean {
    return this.frozenUntil > this.options.clock.monotonicMilliseconds()
  }

  /** Kills the process: its timers, pending results and deferred actions never run again. */
  kill (): void {
    this.alive = false
    this.deferredActions.length = 0
  }

  /** Freezes the process; timers and responses that are due meanwhile are handled in order when it wakes. */
  freeze (durationMilliseconds: number): void {
    const until = this.options.clock.monotonicMilliseconds() + durationMilliseconds
    if (until <= this.frozenUntil) return
    this.frozenUntil = until
    this.options.clock.setTimer(durationMilliseconds, () => {
      if (this.frozenUntil !== until) return
      for (const action of this.deferredActions.splice(0)) action()
    })
  }

  /** Freezes the process like a suspended machine: its monotonic clock does not count the time. */
  suspend (durationMilliseconds: number): void {
    this.freeze(durationMilliseconds)
    this.suspendedMilliseconds += durationMilliseconds
    const until = this.options.clock.monotonicMilliseconds() + durationMilliseconds
    this.suspendedUntil = Math.max(this.suspendedUntil, until)
  }

  /** Wakes the process now if it is frozen; its monotonic clock does not count the time of a suspension until now. */
  thaw (): void {
    const now = this.options.clock.monotonicMilliseconds()
    if (!this.isFrozen()) return
    this.suspendedMilliseconds -= Math.max(0, this.suspendedUntil - now)
    this.suspendedUntil = now
    this.frozenUntil = now
    for (const action of this.deferredActions.splice(0)) action()
  }

  /** Runs an action at once, after the process wakes if it is frozen, or never if it was killed. */
  runWhenAwake (action: () => void): void {
    if (!this.alive) return
    if (this.isFrozen()) this.deferredActions.push(() => this.runWhenAwake(action))
    else action()
  }

  /** The clock of the process; its timers do not fire while the process is frozen. */
  readonly clock: Clock = {
    monotonicMilliseconds: () => this.options.clock.monotonicMilliseconds() - this.suspendedMilliseconds,
    wallMilliseconds: () => this.options.clock.wallMilliseconds() + this.clockStepMilliseconds,
    setTimer: (delay, callback): CancelTimer => {
      let cancelled = false
      const cancelTimer = this.options.clock.setTimer(delay, () =>
        this.runWhenAwake(() => { if (!cancelled) callback() }))
      return () => {
        cancelled = true
        cancelTimer()
      }
    }
  }

  /** The table service and object store with the faults of this process's connection. */
  readonly store: TableService & ObjectStore = {
    transact: async transaction => {
      if (this.freezeBeforeWriteMilliseconds > 0 && transaction.operations[0].table.startsWith('journal-')) {
        this.freeze(this.freezeBeforeWriteMilliseconds)
        this.freezeBeforeWriteMilliseconds = 0
      }
      await this.waitUntilAwake()
      if (this.isStoreUnreachable) return await this.resolveAfter(TIMEOUT_MILLISECONDS, { kind: 'unknown' as const, reason: 'timeout' })
      if (this.options.random() < this.faults.lateWriteShare) {
        this.options.clock.setTimer(this.options.random() * MAXIMUM_DELAY_MILLISECONDS, () => {
          this.options.store.transact(transaction)
        })
        return await this.resolveAfter(TIMEOUT_MILLISECONDS, { kind: 'unknown' as const, reason: 'timeout' })
      }
      return await this.receive(this.options.store.transact(transaction))
    },
    read: async row => await this.readStore(() => this.options.store.read(row)),
    readMany: async rows => await this.readStore(() => this.options.store.readMany(rows)),
    scan: async (table, options) => await this.readStore(() => this.options.store.scan(table, options)),
    putObject: async (key, bytes) => await this.readStore(() => this.options.store.putObject(key, bytes)),
    getObject: async key => await this.readStore(() => this.options.store.getObject(key)),
    deleteObject: async key => await this.readStore(() => this.options.store.deleteObject(key))
  }

  /** The worker client with the faults of this process's connections. */
  readonly workerClient: WorkerClient = {
    exchange: async (workerId, address, exchange) => {
      if (exchange.starts.length > 0 && this.freezeBeforeStartMilliseconds > 0) {
        this.freeze(this.freezeBeforeStartMilliseconds)
        this.freezeBeforeStartMilliseconds = 0
      }
      await this.waitUntilAwake()
      return await this.receive(this.transmit(workerId, address, exchange))
    }
  }

  /**
   * Defers a result until the process is not frozen; the promise never settles if the process is killed.
   * @param pending The result to deliver.
   * @returns A promise that settles when the process handles the result.
   */
  receive<Value> (pending: Promise<Value>): Promise<Value> {
    return new Promise((resolve, reject) => {
      pending.then(value => this.runWhenAwake(() => resolve(value)), error => this.runWhenAwake(() => reject(error)))
    })
  }

  private async transmit (workerId: string, address: string, exchange: WorkerExchange): Promise<ExchangeOutcome> {
    const { workerClient, clock, random } = this.options
    const deliver = async () => await workerClient.exchange(workerId, address, exchange)
    const timeout: ExchangeOutcome = { kind: 'unknown', reason: 'timeout' }
    if (this.refusingWorkers.has(workerId)) return { kind: 'not-sent', reason: 'ECONNREFUSED' }
    if (this.unreachableWorkers.has(workerId)) return await this.resolveAfter(TIMEOUT_MILLISECONDS, timeout)
    const delay = random() * MAXIMUM_DELAY_MILLISECONDS
    if (random() < this.faults.duplicateShare) clock.setTimer(delay, () => { deliver() })
    if (random() < this.faults.lateShare) {
      clock.setTimer(delay, () => { deliver() })
      return await this.resolveAfter(TIMEOUT_MILLISECONDS, timeout)
    }
    const outcome = await deliver()
    return random() < this.faults.lostAnswerShare ? await this.resolveAfter(TIMEOUT_MILLISECONDS, timeout) : outcome
  }

  private async readStore<Value> (
    read: () => Promise<{ kind: 'ok', value: Value } | { kind: 'unavailable', reason: string }>
  ): Promise<{ kind: 'ok', value: Value } | { kind: 'unavailable', reason: string }> {
    await this.waitUntilAwake()
    if (!this.isStoreUnreachable && !this.areStoreReadsFailing) return await this.receive(read())
    return await this.resolveAfter(TIMEOUT_MILLISECONDS, { kind: 'unavailable' as const, reason: 'timeout' })
  }

  private waitUntilAwake (): Promise<void> {
    return this.receive(Promise.resolve())
  }

  private resolveAfter<Value> (delayMilliseconds: number, value: Value): Promise<Value> {
    return new Promise(resolve => { this.clock.setTimer(delayMilliseconds, () => resolve(value)) })
  }
}
