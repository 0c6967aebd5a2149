import type { AuditRecord } from '../audit/AuditRecord.js'
import { formatTable } from './formatTable.js'

/**
 * Formats audit records as a table.
 * @param records The records in the order of the versions.
 * @returns The lines of the table.
 */
export function formatAuditRecords (records: readonly AuditRecord[]): string {
  if (records.length === 0) return 'no records'
  return formatTable(['VERSION', 'AT', 'OPERATOR', 'CHANGE', 'REASON'], records.map(record => [
    record.fromVersion === record.toVersion ? `${record.toVersion}` : `${record.fromVersion} -> ${record.toVersion}`,
    record.at,
    record.operator,
    record.summary,
    record.reason
  ]))
}
