/**
 * Formats rows in aligned columns.
 * @param headers The column headers.
 * @param rows The cells.
 * @returns The lines of the table.
 */
export function formatTable (headers: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const widths = headers.map((header, column) => Math.max(header.length, ...rows.map(row => row[column].length)))
  const formatRow = (row: readonly string[]): string => row.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd()
  return [headers, ...rows].map(formatRow).join('\n')
}
