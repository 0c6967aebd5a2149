import { promisify } from 'node:util'
import { deflate, inflate } from 'node:zlib'
import type { JsonValue } from '../shared/JsonValue.js'
import type { TableSnapshot } from './TableFeed.js'
import type { Row } from './TableService.js'

/** The keys of all copies of this format; another format has another number. */
const FORMAT_PREFIX = 'table-copies/1/'
/** Every version is a safe integer, so keys sort by version. */
const VERSION_DIGITS = 16
const VERSION_PATTERN = /^\d{16}$/
/** A fast level, because others wait for the copy. */
const COMPRESSION_LEVEL = 3
/** A copy that grows beyond this is not decoded further. */
const MAXIMUM_DECODED_BYTES = 64_000_000

const deflateAsync = promisify<Uint8Array, { level: number }, Buffer>(deflate)
const inflateAsync = promisify<Uint8Array, { maxOutputLength: number }, Buffer>(inflate)

/** Compresses and decompresses the content of copies; an invalid content rejects. */
export interface Compression {
  compress (bytes: Uint8Array): Promise<Buffer>
  decompress (bytes: Uint8Array): Promise<Buffer>
}

/** Compresses outside of the event loop. */
export const zlibCompression: Compression = {
  compress: async bytes => await deflateAsync(bytes, { level: COMPRESSION_LEVEL }),
  decompress: async bytes => await inflateAsync(bytes, { maxOutputLength: MAXIMUM_DECODED_BYTES })
}

/** The content of a copy. */
export interface EncodedTableCopy {
  bytes: Uint8Array
  /** The size before compression. */
  decodedBytes: number
}

/**
 * Returns the prefix of the keys of the copies of a table.
 * @param table The table.
 * @returns The prefix.
 */
export function getTableCopyPrefix (table: string): string {
  return `${FORMAT_PREFIX}${table}/`
}

/**
 * Returns the key of a copy; the keys of a table sort by version.
 * @param table The table.
 * @param version The version of the snapshot.
 * @returns The key.
 */
export function getTableCopyKey (table: string, version: number): string {
  return getTableCopyPrefix(table) + String(version).padStart(VERSION_DIGITS, '0')
}

/**
 * Returns the version of the copy with a key.
 * @param table The table.
 * @param key The key.
 * @returns The version, or null when the key is not that of a copy of this table.
 */
export function getTableCopyVersion (table: string, key: string): number | null {
  const prefix = getTableCopyPrefix(table)
  const text = key.slice(prefix.length)
  if (!key.startsWith(prefix) || !VERSION_PATTERN.test(text)) return null
  const version = Number(text)
  return Number.isSafeInteger(version) ? version : null
}

/**
 * Encodes a snapshot as the content of a copy.
 * @param snapshot The rows and the version.
 * @param compression The compression.
 * @returns The compressed content and its size before compression.
 */
export async function encodeTableCopy (
  snapshot: TableSnapshot, compression: Compression
): Promise<EncodedTableCopy> {
  const decoded = Buffer.from(JSON.stringify({ rows: snapshot.rows, version: snapshot.version }))
  return { bytes: await compression.compress(decoded), decodedBytes: decoded.length }
}

/**
 * Decodes the content of a copy.
 * @param table The table.
 * @param version The version that the key names.
 * @param bytes The content.
 * @param compression The compression.
 * @returns The snapshot, or null when the content is not a copy of that table and version.
 */
export async function decodeTableCopy (
  table: string, version: number, bytes: Uint8Array, compression: Compression
): Promise<TableSnapshot | null> {
  let content: unknown
  try {
    content = JSON.parse((await compression.decompress(bytes)).toString())
  } catch {
    return null
  }
  if (!isObject(content) || content.version !== version || !Array.isArray(content.rows)) return null
  return content.rows.every(row => isRow(row, table)) ? { rows: content.rows, version } : null
}

function isRow (value: unknown, table: string): value is Row {
  return isObject(value) && value.table === table && typeof value.key === 'string' &&
    Number.isSafeInteger(value.version) && value.value !== undefined
}

function isObject (value: unknown): value is Record<string, JsonValue | undefined> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
