import { AUDIT_TABLE, formatAuditKey, type AuditRecord } from '../audit/AuditRecord.js'
import type { Clock } from '../shared/Clock.js'
import { createIdentifier } from '../shared/identifiers.js'
import type { JsonValue } from '../shared/JsonValue.js'
import { failed, ok, type Outcome } from '../shared/Outcome.js'
import { SettledWriter } from '../table/SettledWriter.js'
import type { Operation, TableService } from '../table/TableService.js'
import { DATA_CENTRE_TABLE, type Configuration, type ConfigurationHead } from './Configuration.js'
import { applyChange, getChangeSubject, type AppliedChange, type ConfigurationChange } from './ConfigurationChange.js'
import { getSectionContent, getSectionRowKey, HEAD_ROW_KEY, readHead, readVersion, type HeadRow } from './ConfigurationStore.js'

/** Options of a writer of the configuration. */
export interface ConfigurationWriterOptions {
  tableService: TableService
  clock: Clock
}

/** A version as read for a change. */
export interface ConfigurationBase extends HeadRow {
  configuration: Configuration
}

/** Who changes the configuration and why. */
export interface ChangeOrigin {
  operator: string
  reason: string
  /** How long to try, in milliseconds. */
  deadlineMilliseconds?: number
}

/** A change that is durable and will come into force everywhere. */
export interface AcceptedChange {
  configuration: Configuration
  record: AuditRecord
}

/** Why a change was not accepted. */
export type ChangeFailure =
  /** Another operator's change came first; nothing was written. */
  | { kind: 'lost-race', baseVersion: number, winner: { version: number, changedBy: string, changedAt: string } }
  /** The change would have no effect on this version; nothing was written. */
  | { kind: 'no-effect', message: string }
  /** The table service could not be reached; nothing was written. */
  | { kind: 'unavailable', reason: string }
  /** The deadline passed before the outcome was certain; the audit record tells it later. */
  | { kind: 'unknown', reason: string, auditKey: string, writeId: string }

/** How long an operator waits for the outcome of a change, in milliseconds; longer than a short outage. */
const DEFAULT_DEADLINE_MILLISECONDS = 20_000

/** Writes changes of the configuration: sections, head and audit record in one transaction. */
export class ConfigurationWriter {
  private readonly writer: SettledWriter

  private constructor (private readonly options: ConfigurationWriterOptions) {
    this.writer = SettledWriter.create(options)
  }

  /**
   * Creates a writer.
   * @param options The table service and the clock.
   * @returns The writer.
   */
  static create (options: ConfigurationWriterOptions): ConfigurationWriter {
    return new ConfigurationWriter(options)
  }

  /**
   * Reads the whole version to which a change will be applied.
   * @returns The version, or why it could not be read.
   */
  async readBase (): Promise<Outcome<ConfigurationBase, ChangeFailure>> {
    const head = await readHead(this.options.tableService)
    if (head.kind !== 'ok') return failed(toChangeFailure(head.failure))
    const version = await readVersion(this.options.tableService, head.value.head)
    if (version.kind !== 'ok') return failed(toChangeFailure(version.failure))
    return ok({ ...head.value, configuration: version.value })
  }

  /**
   * Applies a change to the version that was read, if no other change has been accepted since.
   * @param base The version that was read.
   * @param change The change.
   * @param origin Who changes it and why.
   * @returns The durable change, or why nothing was written; a lost race is not retried here, as the operator
   * has to see the other change first.
   */
  async write (
    base: ConfigurationBase,
    change: ConfigurationChange,
    origin: ChangeOrigin
  ): Promise<Outcome<AcceptedChange, ChangeFailure>> {
    const applied = applyChange(base.configuration, change)
    if (applied.kind !== 'ok') return applied
    const { configuration, section, summary } = applied.value
    const record: AuditRecord = {
      writeId: createIdentifier(),
      operator: origin.operator,
      at: new Date(this.options.clock.wallMilliseconds()).toISOString(),
      kind: change.kind,
      reason: origin.reason,
      fromVersion: base.configuration.version,
      toVersion: configuration.version,
      sectionVersionBefore: base.head.sections[section],
      summary,
      subject: getChangeSubject(change)
    }
    const marker = { table: AUDIT_TABLE, key: formatAuditKey(configuration.version), writeId: record.writeId }
    const deadlineMilliseconds = origin.deadlineMilliseconds ?? DEFAULT_DEADLINE_MILLISECONDS
    const transaction = { operations: createOperations(base, applied.value, record) }
    const outcome = await this.writer.transactAndSettle(transaction, marker, { deadlineMilliseconds })
    switch (outcome.kind) {
      case 'committed': return ok({ configuration, record })
      case 'unavailable': return failed(outcome)
      case 'unknown': return failed({ ...outcome, auditKey: marker.key, writeId: record.writeId })
      case 'conflict': return failed(await this.describeLostRace(base, outcome.current?.value ?? null))
    }
  }

  /** The conflict names the head as it stood; when it names another row, the head is read again. */
  private async describeLostRace (base: ConfigurationBase, current: JsonValue): Promise<ChangeFailure> {
    let head = current as unknown as ConfigurationHead | null
    if (head?.changedBy === undefined) {
      const read = await readHead(this.options.tableService)
      if (read.kind === 'ok') head = read.value.head
    }
    const { version, changedBy, changedAt } = head ?? { version: base.head.version + 1, changedBy: '', changedAt: '' }
    return { kind: 'lost-race', baseVersion: base.configuration.version, winner: { version, changedBy, changedAt } }
  }
}

function createOperations (base: ConfigurationBase, applied: AppliedChange, record: AuditRecord): Operation[] {
  const { configuration, section, dataCentre } = applied
  const head: ConfigurationHead = {
    version: configuration.version,
    sections: { ...base.head.sections, [section]: configuration.version },
    changedBy: record.operator,
    changedAt: record.at
  }
  const condition = base.rowVersion === null
    ? { kind: 'absent' as const }
    : { kind: 'version' as const, version: base.rowVersion }
  const content = getSectionContent(configuration, section)
  // The head comes first, so that the conflict of a lost race carries the winner's head.
  const operations: Operation[] = [
    { kind: 'put', ...HEAD_ROW_KEY, value: toJson(head), condition },
    {
      kind: 'put',
      ...getSectionRowKey(section, configuration.version),
      value: toJson({ content }),
      condition: { kind: 'absent' }
    },
    {
      kind: 'put',
      table: AUDIT_TABLE,
      key: formatAuditKey(configuration.version),
      value: toJson(record),
      condition: { kind: 'absent' }
    }
  ]
  if (dataCentre !== null) {
    const { name, state, lost } = dataCentre
    const value = { state, lost, version: configuration.version }
    operations.push({ kind: 'put', table: DATA_CENTRE_TABLE, key: name, value, condition: { kind: 'any' } })
  }
  return operations
}

function toChangeFailure (failure: { kind: string, reason?: string }): ChangeFailure {
  return { kind: 'unavailable', reason: failure.reason ?? 'a section of the configuration is missing' }
}

function toJson (value: unknown): JsonValue {
  return value as JsonValue
}
