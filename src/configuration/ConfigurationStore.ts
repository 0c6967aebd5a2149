import { failed, ok, type Outcome } from '../shared/Outcome.js'
import type { JsonValue } from '../shared/JsonValue.js'
import type { RowKey, TableService } from '../table/TableService.js'
import {
  CONFIGURATION_HEAD_KEY, CONFIGURATION_SECTION_TABLE, CONFIGURATION_TABLE, EMPTY_CONFIGURATION,
  type Configuration, type ConfigurationHead, type SectionName
} from './Configuration.js'

/** All sections, in the order in which they are read and written. */
export const SECTION_NAMES: readonly SectionName[] = ['policy', 'data-centres', 'workers']

/** The part of the configuration that one section holds. */
export type SectionContent = Partial<Omit<Configuration, 'version'>>

/** The head row with the version that a conditional write has to name; null when there is no row. */
export interface HeadRow {
  rowVersion: number | null
  head: ConfigurationHead
}

/** Why a version could not be read whole. */
export type ReadFailure =
  | { kind: 'unavailable', reason: string }
  /** A section that the head names is missing; the writer writes both in one transaction. */
  | { kind: 'incomplete', section: SectionName, version: number }

/** The head before the first change. */
const EMPTY_HEAD: ConfigurationHead = {
  version: 0, sections: { policy: 0, 'data-centres': 0, workers: 0 }, changedBy: '', changedAt: ''
}

/** The head row. */
export const HEAD_ROW_KEY: RowKey = { table: CONFIGURATION_TABLE, key: CONFIGURATION_HEAD_KEY }

/**
 * Names the immutable row of a section.
 * @param name The section.
 * @param version The version in which the section changed.
 * @returns The row.
 */
export function getSectionRowKey (name: SectionName, version: number): RowKey {
  return { table: CONFIGURATION_SECTION_TABLE, key: `${name}@${version}` }
}

/**
 * Takes from a configuration what a section holds.
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
 * @returns The head, version 0 when there has been no change yet.
 */
export async function readHead (tableService: Pick<TableService, 'read'>): Promise<Outcome<HeadRow, ReadFailure>> {
  const read = await tableService.read(HEAD_ROW_KEY)
  if (read.kind !== 'ok') return failed(read)
  if (read.value === null) return ok({ rowVersion: null, head: EMPTY_HEAD })
  return ok({ rowVersion: read.value.version, head: read.value.value as unknown as ConfigurationHead })
}

/**
 * Reads the version that a head names, given an earlier whole version. Only sections that changed after the
 * earlier version are read; as sections are immutable, the others are the same in both versions.
 * @param tableService The table service.
 * @param head The head to read.
 * @param base A whole version, lower than that of the head.
 * @returns The whole version.
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
