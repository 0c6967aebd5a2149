import { existsSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const file = fileURLToPath(new URL('../../../KNOWN-RED.txt', import.meta.url))

/**
 * Returns whether KNOWN-RED.txt lists a test as failing. Such a test still runs, and the test runner reports it as a
 * todo.
 * @param title The title of the test.
 * @returns True if the file contains the title.
 */
export function isKnownRed (title: string): boolean {
  return existsSync(file) && readFileSync(file, 'utf8').includes(title)
}
