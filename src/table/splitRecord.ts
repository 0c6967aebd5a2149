import type { JsonValue } from '../shared/JsonValue.js'
import type { Row } from './TableService.js'

/** The bytes of an entry in JSON beside its key and its value, and of the braces. */
const ENTRY_BYTES = 2

/**
 * Divides a record into parts that each fit in a row of the store.
 * @param record The record.
 * @param byteLimit The maximum number of bytes of a row in JSON.
 * @returns At least one part, and the keys of the entries that exceed a row by themselves, which are in no part.
 */
export function splitRecord (
  record: Readonly<Record<string, JsonValue>>, byteLimit: number
): { parts: Array<Record<string, JsonValue>>, omitted: string[] } {
  // Without a prototype, because a key may be any text.
  let part: Record<string, JsonValue> = Object.create(null)
  const parts = [part]
  const omitted: string[] = []
  let partBytes = ENTRY_BYTES
  for (const [key, value] of Object.entries(record)) {
    const bytes = Buffer.byteLength(JSON.stringify(key)) + Buffer.byteLength(JSON.stringify(value)) + ENTRY_BYTES
    if (bytes + ENTRY_BYTES > byteLimit) {
      omitted.push(key)
      continue
    }
    if (partBytes + bytes > byteLimit) {
      part = Object.create(null)
      parts.push(part)
      partBytes = ENTRY_BYTES
    }
    part[key] = value
    partBytes += bytes
  }
  return { parts, omitted }
}

/**
 * Returns the key of the row of a part of a record.
 * @param key The key of the record.
 * @param part The index of the part.
 * @returns The key, which is that of the record for the first part.
 */
export function getPartKey (key: string, part: number): string {
  return part === 0 ? key : `${key}.${part}`
}

/**
 * Returns the rows of a record that were written together.
 * @param rows The rows of the table.
 * @param key The key of the record.
 * @returns The row of the first part and those of the same version; a record with fewer parts leaves older rows.
 */
export function getCurrentParts (rows: readonly Row[], key: string): Row[] {
  const first = rows.find(row => row.key === key)
  if (first === undefined) return []
  return [first, ...rows.filter(row => row.key.startsWith(`${key}.`) && row.version === first.version)]
}
