import type { Clock } from '../../src/shared/Clock.js'
import { ErrorBoundary } from '../../src/shared/ErrorBoundary.js'
import { silentLogger, type Logger } from '../../src/shared/Logger.js'

/** A logger that throws each error that it is given, so that a test fails at the first unexpected error. */
export const strictLogger: Logger = {
  ...silentLogger,
  error: (message, fields = {}) => { throw new Error(`${message}: ${JSON.stringify(fields)}`) }
}

/**
 * Creates an error boundary that throws unexpected errors instead of confining them.
 * @param clock The clock of the test.
 * @returns The boundary.
 */
export function createTestErrors (clock: Clock): ErrorBoundary {
  return ErrorBoundary.create({ clock, logger: strictLogger, onError: () => {} })
}
