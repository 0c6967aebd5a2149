import type { CancelTimer, Clock } from '../../src/shared/Clock.js'
import type { ObjectStore, TableService } from '../../src/table/TableService.js'
import type { ExchangeOutcome, WorkerClient, WorkerExchange } from '../../src/workers/WorkerProtocol.js'

/** How often messages of a process go wrong, each as a share from 0 to 1. */
export interface LinkFaults {
  /** Exchanges that arrive twice, the second time late. */
  duplicateShare: number
  /** Exchanges that arrive after the sender has given up. */
  lateShare: number
  /** Exchanges whose answer is lost. */
  lostAnswerShare: number
  /** Writes to the store that are reported as unknown and take effect later. */
  lateWriteShare: number
}

/** What a process is made of. */
export interface SimulatedProcessOptions {
  clock: Clock
  random: () => number
  store: TableService & ObjectStore
  workerClient: WorkerClient
}

/** How long a sender waits for an answer, in milliseconds. */
const TIMEOUT_MILLISECONDS = 2000
/** The greatest delay of late and duplicate messages; longer than the window in which starts are accepted. */
const MAXIMUM_DELAY_MILLISECONDS = 9000

/** The surroundings of one process, which can be killed, frozen and cut off at any moment. */
export class SimulatedProcess {
  readonly faults: LinkFaults = { duplicateShare: 0, lateShare: 0, lostAnswerShare: 0, lateWriteShare: 0 }
  /** Workers that the process cannot reach. */
  readonly unreachableWorkers = new Set<string>()
  /** Workers that refuse connections, so that the process knows that nothing was sent. */
  readonly refusingWorkers = new Set<string>()
  isStoreUnreachable = false
  /** Reads of the store fail while writes go through, as when only one of its parts is overloaded. */
  areStoreReadsFailing = false
  /** Freezes the process for this time just before it sends its next start. */
  freezeBeforeStartMilliseconds = 0
  /** Freezes the process for this time just before it sends its next journal batch. */
  freezeBeforeWriteMilliseconds = 0
  private alive = true
  private frozenUntil = 0
  private readonly deferredActions: Array<() => void> = []

  private constructor (private readonly options: SimulatedProcessOptions) {}

  /**
   * Creates the surroundings of a running process.
   * @param options What it is made of.
   * @returns The surroundings.
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

  /** Ends the process at once: nothing of it runs any more. */
  kill (): void {
    this.alive = false
    this.deferredActions.length = 0
  }

  /** Pauses the process; timers and answers that come meanwhile are handled when it wakes, in order. */
  freeze (durationMilliseconds: number): void {
    const until = this.options.clock.monotonicMilliseconds() + durationMilliseconds
    if (until <= this.frozenUntil) return
    this.frozenUntil = until
    this.options.clock.setTimer(durationMilliseconds, () => {
      if (this.frozenUntil !== until) return
      for (const action of this.deferredActions.splice(0)) action()
    })
  }

  /** Runs an action of the process now, when it wakes, or never. */
  runWhenAwake (action: () => void): void {
    if (!this.alive) return
    if (this.isFrozen()) this.deferredActions.push(() => this.runWhenAwake(action))
    else action()
  }

  /** The clock of the process. */
  readonly clock: Clock = {
    monotonicMilliseconds: () => this.options.clock.monotonicMilliseconds(),
    wallMilliseconds: () => this.options.clock.wallMilliseconds(),
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

  /** The table service and object store as the process reaches them. */
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

  /** The workers as the process reaches them. */
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
   * Holds a result back while the process is frozen, and for ever when it is dead.
   * @param pending The result.
   * @returns The result as the process receives it.
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
