import { failed, ok, type Outcome } from '../shared/Outcome.js'
import type { JsonValue } from '../shared/JsonValue.js'
import type { RowKey, TableService } from '../table/TableService.js'
import {
  CONFIGURATION_HEAD_KEY, CONFIGURATION_SECTION_TABLE, CONFIGURATION_TABLE, EMPTY_CONFIGURATION,
  type Configuration, type ConfigurationHead, type SectionName
} from './Configuration.js'

/** All sections, in the order in which they are read. */
export const SECTION_NAMES: readonly SectionName[] = ['policy', 'data-centres', 'workers']

/** The fields of the configuration that one section stores. */
export type SectionContent = Partial<Omit<Configuration, 'version'>>

/** The stored head and its row version, which conditional writes must name; null when the row does not exist. */
export interface HeadRow {
  rowVersion: number | null
  head: ConfigurationHead
}

/** The reason why a complete version could not be read. */
export type ReadFailure =
  | { kind: 'unavailable', reason: string }
  /** A section row that the head refers to is missing, although both are written in one transaction. */
  | { kind: 'incomplete', section: SectionName, version: number }

/** The head before the first change. */
const EMPTY_HEAD: ConfigurationHead = {
  version: 0, sections: { policy: 0, 'data-centres': 0, workers: 0 }, changedBy: '', changedAt: ''
}

/** The key of the head row. */
export const HEAD_ROW_KEY: RowKey = { table: CONFIGURATION_TABLE, key: CONFIGURATION_HEAD_KEY }

/**
 * Returns the key of the immutable row of a section.
 * @param name The section.
 * @param version The version in which the section changed.
 * @returns The key of the row.
 */
export function getSectionRowKey (name: SectionName, version: number): RowKey {
  return { table: CONFIGURATION_SECTION_TABLE, key: `${name}@${version}` }
}

/**
 * Returns the fields of a configuration that a section stores.
 * @param configuration The configuration.
 * @param name The section.
 * @returns The content of the section.
 */
export function getSectionContent (configuration: Configuration, name: SectionName): SectionContent {
  const { policyText, dataCentres, quarantinedWorkers, lostWorkers } = configuration
  switch (name) {
    case 'policy': return { policyText }
    case 'data-centres': return { dataCentres }
    case 'workers': return { quarantinedWorkers, lostWorkers }
  }
}

/**
 * Reads the head row.
 * @param tableService The table service.
 * @returns The head; its version is 0 before the first change.
 */
export async function readHead (tableService: Pick<TableService, 'read'>): Promise<Outcome<HeadRow, ReadFailure>> {
  const read = await tableService.read(HEAD_ROW_KEY)
  if (read.kind !== 'ok') return failed(read)
  if (read.value === null) return ok({ rowVersion: null, head: EMPTY_HEAD })
  return ok({ rowVersion: read.value.version, head: read.value.value as unknown as ConfigurationHead })
}

/**
 * Reads the version that a head describes, starting from an earlier complete version. Only sections that changed
 * after the earlier version are read; section rows are immutable, so the others are the same in both versions.
 * @param tableService The table service.
 * @param head The head of the version to read.
 * @param base A complete version, lower than that of the head.
 * @returns The complete version.
 */
export async function readVersion (
  tableService: Pick<TableService, 'readMany'>,
  head: ConfigurationHead,
  base: Configuration = EMPTY_CONFIGURATION
): Promise<Outcome<Configuration, ReadFailure>> {
  const changed = SECTION_NAMES.filter(name => head.sections[name] > base.version)
  const read = await tableService.readMany(changed.map(name => getSectionRowKey(name, head.sections[name])))
  if (read.kind !== 'ok') return failed(read)
  const missing = read.value.findIndex(row => row === null)
  if (missing >= 0) {
    const section = changed[missing]
    return failed({ kind: 'incomplete', section, version: head.sections[section] })
  }
  const contents = read.value.map(row => (row?.value as { content: JsonValue }).content as SectionContent)
  return ok(Object.assign({}, base, ...contents, { version: head.version }) as Configuration)
}
