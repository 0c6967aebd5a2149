import type { ErrorBoundary } from '../shared/ErrorBoundary.js'
import type { Logger } from '../shared/Logger.js'
import type { ListedObjectStore } from './ListedObjectStore.js'
import {
  decodeTableCopy, encodeTableCopy, getTableCopyKey, getTableCopyPrefix, getTableCopyVersion, type Compression
} from './tableCopyFormat.js'
import type { TableSnapshot } from './TableFeed.js'
import type { ReadOutcome } from './TableService.js'

/** Options of the copies of a table. */
export interface TableCopiesOptions {
  table: string
  objects: ListedObjectStore
  logger: Logger
  errors: ErrorBoundary
  compression: Compression
  /** Called after a copy was stored. */
  onPublished (): void
}

/** A copy as read. */
export interface TableCopy {
  snapshot: TableSnapshot
  /** The compressed size. */
  bytes: number
}

/** The outcome of reading a copy; `missing` when it was deleted, `malformed` when its content is no copy. */
export type TableCopyOutcome = ReadOutcome<TableCopy> | { kind: 'missing' } | { kind: 'malformed' }

/** A larger copy would take readers longer than the changes that it saves. */
const MAXIMUM_COPY_BYTES = 4_000_000
/** The newest copy and the one that readers may be reading. */
const KEPT_COPIES = 2

/** The compressed copies of a table in the object store, one for each published version. */
export class TableCopies {
  private isPublishing = false
  private nextSnapshot: TableSnapshot | null = null

  private constructor (private readonly options: TableCopiesOptions) {}

  /**
   * Creates the access to the copies of a table.
   * @param options The table and the object store.
   * @returns The copies.
   */
  static create (options: TableCopiesOptions): TableCopies {
    return new TableCopies(options)
  }

  /**
   * Publishes a snapshot in the background; while another one is being published, only the newest one waits.
   * @param snapshot The rows and the version of the table.
   */
  publish (snapshot: TableSnapshot): void {
    if (this.nextSnapshot === null || snapshot.version > this.nextSnapshot.version) this.nextSnapshot = snapshot
    if (!this.isPublishing) this.publishAll()
  }

  /**
   * Lists the versions of the copies.
   * @param afterVersion Only greater versions are listed; null lists all.
   * @returns The versions in ascending order.
   */
  async listVersions (afterVersion: number | null): Promise<ReadOutcome<number[]>> {
    const { table, objects } = this.options
    const after = afterVersion === null ? undefined : getTableCopyKey(table, afterVersion)
    const listed = await objects.listObjects(getTableCopyPrefix(table), after)
    if (listed.kind !== 'ok') return listed
    const versions = listed.value.map(key => getTableCopyVersion(table, key))
      .filter((version): version is number => version !== null && version > (afterVersion ?? -1))
    return { kind: 'ok', value: versions.sort((left, right) => left - right) }
  }

  /**
   * Reads a copy.
   * @param version The version of the copy.
   * @returns The snapshot and its compressed size.
   */
  async read (version: number): Promise<TableCopyOutcome> {
    const { table, objects, compression } = this.options
    const read = await objects.getObject(getTableCopyKey(table, version))
    if (read.kind !== 'ok') return read
    if (read.value === null) return { kind: 'missing' }
    const snapshot = await decodeTableCopy(table, version, read.value, compression)
    return snapshot === null ? { kind: 'malformed' } : { kind: 'ok', value: { snapshot, bytes: read.value.length } }
  }

  private async publishAll (): Promise<void> {
    this.isPublishing = true
    while (this.nextSnapshot !== null) {
      const snapshot = this.nextSnapshot
      this.nextSnapshot = null
      await this.options.errors.runAsync('table-copy', async () => await this.publishOne(snapshot))
    }
    this.isPublishing = false
  }

  private async publishOne (snapshot: TableSnapshot): Promise<void> {
    const { table, objects, logger, onPublished } = this.options
    const { version, rows } = snapshot
    const { bytes, decodedBytes } = await encodeTableCopy(snapshot, this.options.compression)
    const fields = { table, version, rows: rows.length, bytes: decodedBytes, compressedBytes: bytes.length }
    if (bytes.length > MAXIMUM_COPY_BYTES) {
      logger.warn('table copy not published', { ...fields, reason: 'too-large' })
      return
    }
    const put = await objects.putObjectIfAbsent(getTableCopyKey(table, version), bytes)
    if (put.kind !== 'ok') {
      logger.warn('table copy not published', { ...fields, reason: put.reason })
      return
    }
    if (put.value === 'exists') return
    logger.info('table copy published', fields)
    onPublished()
    await this.deleteOldCopies()
  }

  private async deleteOldCopies (): Promise<void> {
    const { table, objects, logger } = this.options
    const listed = await this.listVersions(null)
    if (listed.kind !== 'ok') {
      logger.warn('old table copies not deleted', { table, reason: listed.reason })
      return
    }
    for (const version of listed.value.slice(0, -KEPT_COPIES)) {
      const deleted = await objects.deleteObject(getTableCopyKey(table, version))
      if (deleted.kind !== 'ok') {
        logger.warn('old table copies not deleted', { table, version, reason: deleted.reason })
        return
      }
    }
  }
}
