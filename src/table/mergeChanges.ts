import type { RowChange, TableSnapshot } from './TableFeed.js'

/**
 * Applies later changes to a snapshot.
 * @param snapshot The rows of a table.
 * @param changes The changes after the version of the snapshot, in order.
 * @param version The version up to which the changes are complete.
 * @returns The snapshot of that version.
 */
export function mergeChanges (snapshot: TableSnapshot, changes: readonly RowChange[], version: number): TableSnapshot {
  const rows = new Map(snapshot.rows.map(row => [row.key, row]))
  for (const { key, row } of changes) {
    if (row === null) rows.delete(key)
    else rows.set(key, row)
  }
  return { rows: [...rows.values()], version }
}
