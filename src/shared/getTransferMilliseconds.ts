/** The slowest rate that a time limit allows for: half of the weakest link of an instance, which calls share. */
const SLOWEST_BYTES_PER_SECOND = 125_000

/**
 * Returns how much longer a call may take because of the size of what it sends.
 * @param bytes The bytes that are sent.
 * @returns The time to send them at the slowest rate, in whole milliseconds.
 */
export function getTransferMilliseconds (bytes: number): number {
  return Math.ceil(bytes * 1000 / SLOWEST_BYTES_PER_SECOND)
}
