import type { Clock } from '../shared/Clock.js'
import { createIdentifier } from '../shared/identifiers.js'
import type { JsonValue } from '../shared/JsonValue.js'
import { failed, ok, type Outcome } from '../shared/Outcome.js'
import { SettledWriter } from '../table/SettledWriter.js'
import type { Row, TableService } from '../table/TableService.js'
import { AUDIT_TABLE, formatAuditKey, formatTaskAuditKey, type AuditKind, type AuditRecord } from './AuditRecord.js'

/** Which records to list; all conditions must hold. */
export interface AuditFilter {
  /** Wall times in ISO 8601; `since` is included, `until` is not. */
  since?: string
  until?: string
  operator?: string
  kinds?: readonly AuditKind[]
  /** The greatest number of records; the newest are kept. */
  limit?: number
}

/** What an operator asks for or got with a task command. */
export interface TaskAuditEntry {
  operator: string
  reason: string
  kind: 'task-submit' | 'task-cancel'
  /** The version of the configuration in force. */
  version: number
  summary: string
  subject: JsonValue
}

/** Why a record is not known to be durable. */
export type AuditFailure =
  /** The record was certainly not written. */
  | { kind: 'unavailable', reason: string }
  /** The record may have been written. */
  | { kind: 'unknown', reason: string }

/** Rows of one scan, few enough that the store answers quickly. */
const ROWS_PER_PAGE = 500

/** Versions that are read at a time, from the newest backwards; a year holds about four million. */
const VERSIONS_PER_WINDOW = 500

/** Operators' wall clocks may differ by this much, so that records around `since` are not in the order of time. */
const MAXIMUM_CLOCK_SKEW_MILLISECONDS = 24 * 60 * 60 * 1000

/** Sorts after every character of a key. */
const LAST_KEY_CHARACTER = '~'
const WRITE_DEADLINE_MILLISECONDS = 20_000

/** Reads the audit records and appends those of task commands. */
export class AuditLog {
  private readonly writer: SettledWriter

  private constructor (
    private readonly tableService: TableService,
    private readonly clock: Clock
  ) {
    this.writer = SettledWriter.create({ tableService, clock })
  }

  /**
   * Creates the log.
   * @param options The table service and the clock.
   * @returns The log.
   */
  static create (options: { tableService: TableService, clock: Clock }): AuditLog {
    return new AuditLog(options.tableService, options.clock)
  }

  /**
   * Appends the record of a task command.
   * @param entry What was asked or done.
   * @returns The durable record, or why it is not known to be durable.
   */
  async appendTaskRecord (entry: TaskAuditEntry): Promise<Outcome<AuditRecord, AuditFailure>> {
    const { version, ...rest } = entry
    const at = new Date(this.clock.wallMilliseconds()).toISOString()
    const record: AuditRecord = { writeId: createIdentifier(), at, fromVersion: version, toVersion: version, ...rest }
    const marker = { table: AUDIT_TABLE, key: formatTaskAuditKey(version, at, record.writeId), writeId: record.writeId }
    const outcome = await this.writer.transactAndSettle({
      operations: [{
        kind: 'put',
        table: AUDIT_TABLE,
        key: marker.key,
        value: record as unknown as JsonValue,
        condition: { kind: 'absent' }
      }]
    }, marker, { deadlineMilliseconds: WRITE_DEADLINE_MILLISECONDS })
    if (outcome.kind === 'committed') return ok(record)
    if (outcome.kind === 'conflict') return failed({ kind: 'unavailable', reason: 'the key of the record is taken' })
    return failed(outcome)
  }

  /**
   * Lists records in the order of the versions.
   * @param filter Which records.
   * @param newestVersion The version of the configuration in force, from which the records are read backwards.
   * @returns The records, or why they could not be read.
   */
  async list (
    filter: AuditFilter,
    newestVersion: number
  ): Promise<Outcome<AuditRecord[], { kind: 'unavailable', reason: string }>> {
    let records: AuditRecord[] = []
    for (let newest = newestVersion; newest >= 0; newest -= VERSIONS_PER_WINDOW) {
      const oldest = Math.max(0, newest - VERSIONS_PER_WINDOW + 1)
      const window = await this.readWindow(oldest, newest === newestVersion ? Infinity : newest)
      if (window.kind === 'failed') return window
      records = [...window.value.filter(record => matches(record, filter)), ...records]
      if (records.length >= (filter.limit ?? Infinity)) break
      if (window.value.some(record => isBeforeFilteredTime(record, filter))) break
    }
    return ok(filter.limit === undefined ? records : records.slice(Math.max(0, records.length - filter.limit)))
  }

  /**
   * Lists the changes of one section, by the link of each record to the one before. Changes of the policy are rare
   * among 11,000 changes a day, so searching for them would read most of the log.
   * @param newestVersion The version in which the section changed last, 0 when never.
   * @param limit The greatest number of records.
   * @returns The records in the order of the versions, or why they could not be read.
   */
  async listSectionChanges (
    newestVersion: number,
    limit: number
  ): Promise<Outcome<AuditRecord[], { kind: 'unavailable', reason: string }>> {
    const records: AuditRecord[] = []
    for (let version = newestVersion; version > 0 && records.length < limit;) {
      const read = await this.tableService.read({ table: AUDIT_TABLE, key: formatAuditKey(version) })
      if (read.kind !== 'ok') return failed(read)
      if (read.value === null) break
      const record = toRecord(read.value)
      records.unshift(record)
      version = record.sectionVersionBefore ?? 0
    }
    return ok(records)
  }

  private async readWindow (
    oldest: number,
    newest: number
  ): Promise<Outcome<AuditRecord[], { kind: 'unavailable', reason: string }>> {
    const end = newest === Infinity ? LAST_KEY_CHARACTER : formatAuditKey(newest) + LAST_KEY_CHARACTER
    const records: AuditRecord[] = []
    let after = oldest === 0 ? undefined : formatAuditKey(oldest - 1) + LAST_KEY_CHARACTER
    for (;;) {
      const page = await this.tableService.scan(AUDIT_TABLE, { after, limit: ROWS_PER_PAGE })
      if (page.kind !== 'ok') return failed(page)
      const rows = page.value.filter(row => row.key < end)
      records.push(...rows.map(toRecord))
      if (rows.length < ROWS_PER_PAGE) return ok(records)
      after = rows.at(-1)!.key
    }
  }
}

function isBeforeFilteredTime (record: AuditRecord, filter: AuditFilter): boolean {
  return filter.since !== undefined && Date.parse(record.at) < Date.parse(filter.since) - MAXIMUM_CLOCK_SKEW_MILLISECONDS
}

function toRecord (row: Row): AuditRecord {
  return row.value as unknown as AuditRecord
}

function matches (record: AuditRecord, filter: AuditFilter): boolean {
  return (filter.since === undefined || record.at >= filter.since) &&
    (filter.until === undefined || record.at < filter.until) &&
    (filter.operator === undefined || record.operator === filter.operator) &&
    (filter.kinds === undefined || filter.kinds.includes(record.kind))
}
