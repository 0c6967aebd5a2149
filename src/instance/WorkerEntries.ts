import { isDeepStrictEqual } from 'node:util'
import type { WorkerEntry } from '../dispatch/index.js'
import type { JsonValue } from '../shared/JsonValue.js'
import type { Logger } from '../shared/Logger.js'
import type { RowChange } from '../table/TableFeed.js'
import type { Row } from '../table/TableService.js'

/** Options of the entries. */
export interface WorkerEntriesOptions {
  logger: Logger
  /** Returns null for a row that is not a valid worker entry. */
  decodeWorker (key: string, value: JsonValue): WorkerEntry | null
}

/** The entries of the platform's list of workers. */
export class WorkerEntries {
  private readonly entries = new Map<string, WorkerEntry>()

  private constructor (private readonly options: WorkerEntriesOptions) {}

  /**
   * Creates an empty list.
   * @param options How a row is decoded.
   * @returns The entries.
   */
  static create (options: WorkerEntriesOptions): WorkerEntries {
    return new WorkerEntries(options)
  }

  /** Returns the entries by worker. */
  getAll (): ReadonlyMap<string, WorkerEntry> {
    return this.entries
  }

  /** Removes all entries. */
  clear (): void {
    this.entries.clear()
  }

  /** Replaces all entries by those of the rows. */
  replace (rows: readonly Row[]): void {
    this.clear()
    for (const row of rows) this.applyRow(row.key, row.value)
  }

  /**
   * Applies changed rows.
   * @param changes The changes.
   * @returns The workers whose entries differ from those before, or were removed.
   */
  apply (changes: readonly RowChange[]): string[] {
    const changed = new Set<string>()
    for (const { key, row } of changes) {
      const previous = this.entries.get(key)
      if (row === null) this.entries.delete(key)
      else this.applyRow(key, row.value)
      // Most rows are heartbeats, which change no field of the entry.
      if (!isDeepStrictEqual(previous, this.entries.get(key))) changed.add(key)
    }
    return [...changed]
  }

  private applyRow (key: string, value: JsonValue): void {
    const entry = this.options.decodeWorker(key, value)
    if (entry === null) {
      this.options.logger.info('invalid worker row ignored', { key })
      this.entries.delete(key)
    } else {
      this.entries.set(key, entry)
    }
  }
}
