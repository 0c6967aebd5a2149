import { isDeepStrictEqual } from 'node:util'
import type { WorkerEntry } from '../dispatch/index.js'
import type { Clock } from '../shared/Clock.js'
import type { ErrorBoundary } from '../shared/ErrorBoundary.js'
import type { JsonValue } from '../shared/JsonValue.js'
import type { Logger } from '../shared/Logger.js'
import { LargeTableReader, type LargeTableObserver } from '../table/LargeTableReader.js'
import type { ListedObjectStore } from '../table/ListedObjectStore.js'
import type { RowChange, TableFeed } from '../table/TableFeed.js'
import type { Compression } from '../table/tableCopyFormat.js'
import { TableFollower } from '../table/TableFollower.js'
import type { Row } from '../table/TableService.js'
import type { SiteConfiguration } from './SiteConfiguration.js'
import type { ChangedWorkers } from './SiteUpdater.js'
import { WorkerEntries } from './WorkerEntries.js'

/** A decoded row of the operators' table. */
export type OperatorRow =
  /** The faults are texts about entries of the configuration that are not used as written. */
  | { kind: 'configuration', configuration: SiteConfiguration, faults?: readonly string[] }
  | { kind: 'data-centre-out', dataCentre: string }
  | { kind: 'ignored', reason: string }

/** The platform's tables of operators and workers, and the functions that decode their rows. */
export interface PlatformTables {
  feed: TableFeed
  operatorTable: string
  workerTable: string
  decodeOperatorRow (key: string, value: JsonValue): OperatorRow
  /** Returns null for a row that is not a valid worker entry. */
  decodeWorker (key: string, value: JsonValue): WorkerEntry | null
}

/** Options of a watch. */
export interface SiteWatchOptions {
  platform: PlatformTables
  /** Holds copies of a large operators' table. */
  objects: ListedObjectStore
  clock: Clock
  logger: Logger
  errors: ErrorBoundary
  largeTableObserver: LargeTableObserver
  /** Compression of the copies; zlib by default. */
  compression?: Compression
  /** How much longer this instance looks for a copy of a large table before it reads the table itself. */
  resourceDelayMilliseconds: number
  /** Returns whether this instance publishes the copies. */
  isPublisher (): boolean
  /** Returns a number from 0 to 1 for the random parts of delays. */
  random (): number
  /** The longest time for which a call waits for changes of the operators' table; Infinity by default. */
  longestOperatorWaitMilliseconds?: number
  onChange (changedWorkers: ChangedWorkers): void
}

/** A lost call delays a configuration by this wait and the call's timeout margin, together at most 2.5 s. */
const OPERATOR_WAIT_MILLISECONDS = 1500
/** The largest answer about the operators' table that each instance receives over the link between regions. */
const OPERATOR_ANSWER_LIMIT_BYTES = 65_536
/** Bounds the line about the faults of a configuration. */
const LOGGED_FAULT_LIMIT = 20
/** A dead connection must be detected within 2.5 s, after which the owner is assumed to know that a worker drains. */
const WORKER_WAIT_MILLISECONDS = 1500

/** Follows the operators' table of the platform and, in the owner's process, its list of workers. */
export class SiteWatch {
  private configuration: SiteConfiguration | null = null
  private readonly dataCentresOut = new Map<string, string>()
  /** The data centres of the rows, replaced when the rows change. */
  private dataCentresOutSet: ReadonlySet<string> = new Set()
  private readonly workers: WorkerEntries
  private workersLoaded = false
  private readonly operatorFollower: TableFollower
  private workerFollower: TableFollower | null = null

  private constructor (private readonly options: SiteWatchOptions) {
    const { platform, clock, logger, errors, random } = options
    this.workers = WorkerEntries.create({ logger, decodeWorker: (key, value) => platform.decodeWorker(key, value) })
    const reader = LargeTableReader.create({
      ...options,
      table: platform.operatorTable,
      feed: platform.feed,
      observer: options.largeTableObserver,
      maximumBytes: OPERATOR_ANSWER_LIMIT_BYTES
    })
    this.operatorFollower = TableFollower.create({
      table: platform.operatorTable,
      feed: platform.feed,
      largeTable: { reader, maximumBytes: OPERATOR_ANSWER_LIMIT_BYTES },
      clock,
      logger,
      errors,
      random,
      waitMilliseconds: Math.min(OPERATOR_WAIT_MILLISECONDS, options.longestOperatorWaitMilliseconds ?? Infinity),
      onSnapshot: snapshot => this.replaceOperatorRows(snapshot.rows),
      onChanges: changes => this.applyOperatorChanges(changes)
    })
  }

  /**
   * Creates a watch that does nothing before `start`.
   * @param options The platform's tables and the callback for changes.
   * @returns The watch.
   */
  static create (options: SiteWatchOptions): SiteWatch {
    return new SiteWatch(options)
  }

  /** Starts following the operators' table. */
  start (): void {
    this.operatorFollower.run()
  }

  /** Starts following the list of workers, which only the owner needs. */
  startFollowingWorkers (): void {
    const { platform, clock, logger, errors, random } = this.options
    this.workersLoaded = false
    this.workers.clear()
    this.workerFollower = TableFollower.create({
      table: platform.workerTable,
      feed: platform.feed,
      clock,
      logger,
      errors,
      random,
      waitMilliseconds: WORKER_WAIT_MILLISECONDS,
      onSnapshot: snapshot => this.replaceWorkers(snapshot.rows),
      onChanges: changes => this.applyWorkerChanges(changes)
    })
    this.workerFollower.run()
  }

  /** Stops following the list of workers. */
  stopFollowingWorkers (): void {
    this.workerFollower?.stop()
    this.workerFollower = null
    this.workersLoaded = false
  }

  /** Stops following both tables. */
  stop (): void {
    this.operatorFollower.stop()
    this.stopFollowingWorkers()
  }

  /** Returns the newest configuration that was read, or null before one was read. */
  getConfiguration (): SiteConfiguration | null {
    return this.configuration
  }

  /** Returns the data centres that operators have taken out, which get no new work; the same set until they change. */
  getDataCentresOut (): ReadonlySet<string> {
    return this.dataCentresOutSet
  }

  /** Returns the listed workers, which are none before the list is read. */
  getWorkers (): ReadonlyMap<string, WorkerEntry> {
    return this.workers.getAll()
  }

  /** Returns whether the list of workers was read. */
  areWorkersLoaded (): boolean {
    return this.workersLoaded
  }

  /**
   * Returns the milliseconds since the latest read of the operators' table was sent whose rows are in force, Infinity
   * before the first; what operators have written later may be missing.
   */
  getReadAge (): number {
    return this.operatorFollower.getReadAge()
  }

  /** Returns the monotonic time of the last successful call that read the operators' table. */
  getLastContactAt (): number {
    return this.operatorFollower.getLastContactAt()
  }

  private replaceOperatorRows (rows: Row[]): void {
    this.dataCentresOut.clear()
    for (const row of rows) this.applyOperatorRow(row.key, row.value)
    this.announceOperatorChanges()
  }

  private applyOperatorChanges (changes: RowChange[]): void {
    for (const { key, row } of changes) {
      if (row !== null) this.applyOperatorRow(key, row.value)
      else if (this.dataCentresOut.delete(key)) this.options.logger.info('data centre gets new work again', { key })
    }
    this.announceOperatorChanges()
  }

  private announceOperatorChanges (): void {
    const dataCentres = new Set(this.dataCentresOut.values())
    if (!isDeepStrictEqual(dataCentres, this.dataCentresOutSet)) this.dataCentresOutSet = dataCentres
    this.options.onChange([])
  }

  private applyOperatorRow (key: string, value: JsonValue): void {
    const { platform, logger } = this.options
    const row = platform.decodeOperatorRow(key, value)
    if (row.kind === 'ignored') {
      logger.info('row of the operators ignored', { key, reason: row.reason })
    } else if (row.kind === 'data-centre-out') {
      logger.info('data centre gets no new work', { dataCentre: row.dataCentre })
      this.dataCentresOut.set(key, row.dataCentre)
    } else if (row.configuration.version > (this.configuration?.version ?? -1)) {
      logger.info('configuration in force', { version: row.configuration.version })
      this.configuration = row.configuration
      const faults = row.faults ?? []
      if (faults.length > 0) {
        const { version } = row.configuration
        logger.warn('faults in the configuration', {
          version, count: faults.length, faults: faults.slice(0, LOGGED_FAULT_LIMIT)
        })
      }
    }
  }

  private replaceWorkers (rows: Row[]): void {
    this.workers.replace(rows)
    this.workersLoaded = true
    this.options.onChange('all')
  }

  private applyWorkerChanges (changes: RowChange[]): void {
    this.options.onChange(this.workers.apply(changes))
  }
}
