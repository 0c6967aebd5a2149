import { createHash, randomUUID } from 'node:crypto'

/**
 * Creates a globally unique identifier.
 * @returns A random UUID.
 */
export function createIdentifier (): string {
  return randomUUID()
}

/**
 * Derives an identifier from parts; equal parts give the same identifier in every process.
 * @param parts The parts, for example a team and an idempotency key.
 * @returns 32 hexadecimal digits.
 */
export function deriveIdentifier (...parts: string[]): string {
  return createHash('sha256').update(JSON.stringify(parts)).digest('hex').slice(0, 32)
}
