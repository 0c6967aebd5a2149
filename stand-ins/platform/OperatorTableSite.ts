import { deflateSync, inflateSync } from 'node:zlib'
import { SiteWatch, type OperatorRow } from '../../src/instance/SiteWatch.js'
import type { JsonValue } from '../../src/shared/JsonValue.js'
import type { Logger } from '../../src/shared/Logger.js'
import type { VirtualClock } from '../../src/shared/VirtualClock.js'
import type { ListedObjectStore } from '../../src/table/ListedObjectStore.js'
import type { Compression } from '../../src/table/tableCopyFormat.js'
import type { TableFeed } from '../../src/table/TableFeed.js'
import type { TableService } from '../../src/table/TableService.js'
import { SimulatedProcess } from '../../tools/simulation/SimulatedProcess.js'
import { MemoryTableService } from '../table-service/MemoryTableService.js'
import { createTestErrors, strictLogger } from './createTestErrors.js'
import { FairLink } from './FairLink.js'
import { EmulatedTables, type EmulatedTableClient } from './EmulatedTables.js'
import { gateObjects, gateTables } from './gateCalls.js'
import { MemoryObjects } from './MemoryObjects.js'

/** Options of a site. */
export interface OperatorTableSiteOptions {
  clock: VirtualClock
  random: () => number
  /** Instances in the region of the store. */
  nearCount: number
  /** Instances in the other region. */
  farCount: number
  /** Whether the store announces the size of an answer, so that one that is too large ends before its body. */
  announcesSizes?: boolean
}

/** One instance that follows the operators' table. */
export interface FollowingInstance {
  readonly isFar: boolean
  readonly process: SimulatedProcess
  readonly tables: EmulatedTableClient
  readonly watch: SiteWatch
  /** The versions of the configuration in force, one after the other. */
  readonly versions: number[]
  /** The newest version that was stored when the process started. */
  readonly newestAtStart: number
  readonly counts: { published: number, used: number, wholeReads: number }
  readonly logLines: string[]
}

export const OPERATOR_TABLE = 'operators'
const CONFIGURATION_KEY = 'configuration'
/** A configuration of 3,000 queues, which is read as 0.9 MB, and its part that compression halves. */
const LARGE_TEXT_BYTES = 690_000
const RANDOM_TEXT_BYTES = 260_000
/** The links of a grown site. */
const REGION_LINK_MEGABITS_PER_SECOND = 42
const FAST_LINK_MEGABITS_PER_SECOND = 140
const SLOW_LINK_MEGABITS_PER_SECOND = 7
/** Every third instance has a fast link. */
const FAST_INSTANCE_INTERVAL = 3
const SLOW_INSTANCE_DELAY_MILLISECONDS = 372
const NEAR_ROUND_TRIP_MILLISECONDS = 1
const FAR_ROUND_TRIP_MILLISECONDS = 24
const CALL_BYTES = 300
const OTHER_WRITES_INTERVAL_MILLISECONDS = 90

/** Compresses within the turn of the event loop, so that a virtual clock does not pass it. */
const syncCompression: Compression = {
  compress: async bytes => deflateSync(bytes, { level: 3 }),
  decompress: async bytes => inflateSync(bytes)
}

/** Emulates instances in two regions that follow the operators' table over links of limited speed. */
export class OperatorTableSite {
  readonly tables: EmulatedTables
  readonly objects: MemoryObjects
  readonly instances: FollowingInstance[] = []
  /** The link between the regions. */
  readonly regionLink: FairLink
  /** The instance that publishes copies, which may be dead. */
  publisher: FollowingInstance | null = null
  newestVersion = 0

  private constructor (private readonly options: OperatorTableSiteOptions) {
    const { clock } = options
    this.tables = EmulatedTables.create({ clock })
    this.objects = MemoryObjects.create({ clock })
    this.regionLink = FairLink.create({ clock, megabitsPerSecond: REGION_LINK_MEGABITS_PER_SECOND })
  }

  /**
   * Creates a site with a small configuration and starts its instances, the first of which is the publisher.
   * @param options The sizes, the clock and the random number generator.
   * @returns The site.
   */
  static create (options: OperatorTableSiteOptions): OperatorTableSite {
    const site = new OperatorTableSite(options)
    site.putConfiguration('small')
    for (const [isFar, count] of [[false, options.nearCount], [true, options.farCount]] as const) {
      for (let index = 0; index < count; index++) site.addInstance(isFar, index % FAST_INSTANCE_INTERVAL === 0)
    }
    site.publisher = site.instances[0]
    site.writeOtherRows()
    return site
  }

  /** Stores a configuration with the next version. */
  putConfiguration (size: 'small' | 'large'): number {
    const version = ++this.newestVersion
    this.put(CONFIGURATION_KEY, { version, text: size === 'small' ? '' : this.createText() })
    return version
  }

  /** Takes a data centre out of service, or brings it back. */
  setDataCentreOut (dataCentre: string, isOut: boolean): void {
    const key = `out/${dataCentre}`
    if (isOut) this.put(key, dataCentre)
    else this.tables.apply({ operations: [{ kind: 'delete', table: OPERATOR_TABLE, key, condition: { kind: 'any' } }] })
  }

  /** Returns the data centres that are stored as out of service. */
  getDataCentresOut (): string[] {
    const { rows } = this.tables.getTable(OPERATOR_TABLE)
    return rows.filter(({ key }) => key.startsWith('out/')).map(({ value }) => String(value))
  }

  /** Starts an instance. */
  addInstance (isFar: boolean, isFast: boolean): FollowingInstance {
    const { clock, random } = this.options
    const process = SimulatedProcess.create({
      clock, random, store: MemoryTableService.create(), workerClient: { exchange: () => new Promise(() => {}) }
    })
    const tables = this.tables.createClient(random)
    const counts = { published: 0, used: 0, wholeReads: 0 }
    const versions: number[] = []
    const logLines: string[] = []
    const send = this.createSend(isFar, isFast)
    const log: Logger['info'] = message => logLines.push(message)
    const logger: Logger = { ...strictLogger, info: log, warn: log }
    const watch: SiteWatch = SiteWatch.create({
      platform: {
        feed: gateTables(process, null, limitTables(tables, send, this.options.announcesSizes === true)),
        operatorTable: OPERATOR_TABLE,
        workerTable: 'workers',
        decodeOperatorRow,
        decodeWorker: () => null
      },
      objects: gateObjects(process, limitObjects(this.objects.createClient(() => tables.faults.cutOff), send)),
      clock: process.clock,
      logger,
      errors: createTestErrors(process.clock),
      largeTableObserver: {
        copyPublished: () => { counts.published++ },
        copyUsed: () => { counts.used++ },
        wholeRead: () => { counts.wholeReads++ }
      },
      compression: syncCompression,
      resourceDelayMilliseconds: isFast ? 0 : SLOW_INSTANCE_DELAY_MILLISECONDS,
      isPublisher: () => this.publisher === instance,
      random,
      onChange: () => {
        const version = watch.getConfiguration()?.version
        if (version !== undefined && version !== versions.at(-1)) versions.push(version)
      }
    })
    const newestAtStart = this.newestVersion
    const instance: FollowingInstance = { isFar, process, tables, watch, versions, newestAtStart, counts, logLines }
    this.instances.push(instance)
    watch.start()
    return instance
  }

  /** Returns the instances whose process runs. */
  getAlive (): FollowingInstance[] {
    return this.instances.filter(({ process }) => process.isAlive())
  }

  /** Returns the instances that run and do not have the newest configuration in force. */
  getOutdated (): FollowingInstance[] {
    return this.getAlive().filter(({ versions }) => versions.at(-1) !== this.newestVersion)
  }

  /** Advances the clock until all running instances are current, or up to the limit, and returns the time taken. */
  async advanceUntilCurrent (limitMilliseconds: number): Promise<number> {
    const { clock } = this.options
    const startedAt = clock.monotonicMilliseconds()
    const getElapsed = () => clock.monotonicMilliseconds() - startedAt
    while (this.getOutdated().length > 0 && getElapsed() < limitMilliseconds) await clock.advance(5)
    return getElapsed()
  }

  /** Writes rows of another table, with which the versions of the store increase. */
  private writeOtherRows (): void {
    this.tables.apply({
      operations: [{ kind: 'put', table: 'others', key: 'row', value: null, condition: { kind: 'any' } }]
    })
    this.options.clock.setTimer(OTHER_WRITES_INTERVAL_MILLISECONDS, () => this.writeOtherRows())
  }

  private put (key: string, value: JsonValue): void {
    this.tables.apply({
      operations: [{ kind: 'put', table: OPERATOR_TABLE, key, value, condition: { kind: 'any' } }]
    })
  }

  private createText (): string {
    const { random } = this.options
    const randomText = Array.from({ length: RANDOM_TEXT_BYTES / 5 }, () =>
      Math.floor(random() * 0x100000).toString(16).padStart(5, '0')).join('')
    return randomText.padEnd(LARGE_TEXT_BYTES, 'x')
  }

  /** Creates a function that waits for a round trip and sends bytes over the links of an instance. */
  private createSend (isFar: boolean, isFast: boolean): (bytes: number) => Promise<void> {
    const { clock } = this.options
    const ownLink = FairLink.create({
      clock, megabitsPerSecond: isFast ? FAST_LINK_MEGABITS_PER_SECOND : SLOW_LINK_MEGABITS_PER_SECOND
    })
    return async bytes => {
      await new Promise<void>(resolve => {
        clock.setTimer(isFar ? FAR_ROUND_TRIP_MILLISECONDS : NEAR_ROUND_TRIP_MILLISECONDS, resolve)
      })
      if (isFar) await Promise.all([this.regionLink.transfer(bytes), ownLink.transfer(bytes)])
      else await ownLink.transfer(bytes)
    }
  }
}

function decodeOperatorRow (key: string, value: JsonValue): OperatorRow {
  if (key.startsWith('out/')) return { kind: 'data-centre-out', dataCentre: String(value) }
  const { version } = value as { version: number }
  return { kind: 'configuration', configuration: { version, queues: [], maximumBodyBytes: 100_000 } }
}

/** Sends the answers of the tables over the links of an instance. */
function limitTables (
  tables: EmulatedTableClient, send: (bytes: number) => Promise<void>, announcesSizes: boolean
): TableService & TableFeed {
  const limit = async <Answer extends object>(
    pending: Promise<Answer>, maximumBytes = Infinity
  ): Promise<Answer | { kind: 'too-large' }> => {
    const answer = await pending
    const bytes = CALL_BYTES + getAnswerBytes(answer)
    const isTooLarge = bytes > maximumBytes
    await send(!isTooLarge ? bytes : announcesSizes ? CALL_BYTES : maximumBytes)
    return isTooLarge ? { kind: 'too-large' } : answer
  }
  return {
    transact: transaction => tables.transact(transaction),
    read: row => tables.read(row),
    readMany: rows => tables.readMany(rows),
    scan: (table, options) => tables.scan(table, options),
    readTable: async table => {
      const answer = await tables.readTable(table)
      await send(CALL_BYTES + getAnswerBytes(answer))
      return answer
    },
    readTableWithin: async (table, maximumBytes) => await limit(tables.readTable(table), maximumBytes),
    waitForChanges: async (table, after, wait, maximumBytes) =>
      await limit(tables.waitForChanges(table, after, wait), maximumBytes)
  }
}

/** The values of rows are encoded with four characters for three bytes. */
function getAnswerBytes (answer: object): number {
  return Buffer.byteLength(JSON.stringify(answer)) * 4 / 3
}

function limitObjects (
  objects: ListedObjectStore, send: (bytes: number) => Promise<void>
): ListedObjectStore {
  return {
    ...objects,
    putObjectIfAbsent: async (key, bytes) => {
      await send(bytes.length)
      return await objects.putObjectIfAbsent(key, bytes)
    },
    getObject: async key => {
      const read = await objects.getObject(key)
      await send(CALL_BYTES + (read.kind === 'ok' ? read.value?.length ?? 0 : 0))
      return read
    },
    listObjects: async (prefix, after) => {
      const listed = await objects.listObjects(prefix, after)
      await send(CALL_BYTES)
      return listed
    }
  }
}
