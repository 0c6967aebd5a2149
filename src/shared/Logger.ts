import { Roarr } from 'roarr'
import type { JsonValue } from './JsonValue.js'

/** The structured fields of a log line. */
export type LogFields = Record<string, JsonValue>

/** Writes structured log lines. Only state changes are logged. */
export interface Logger {
  info (message: string, fields?: LogFields): void
  warn (message: string, fields?: LogFields): void
  error (message: string, fields?: LogFields): void
}

/**
 * Creates a logger that writes JSON lines to standard output when `ROARR_LOG` is `true`.
 * @param component The name of the program or of the part that logs.
 * @param instanceId The identifier of the instance.
 * @returns The logger.
 */
export function createLogger (component: string, instanceId: string): Logger {
  const log = Roarr.child({ application: 'papayamoor', component, instanceId })
  return {
    info: (message, fields = {}) => log.info(fields, message),
    warn: (message, fields = {}) => log.warn(fields, message),
    error: (message, fields = {}) => log.error(fields, message)
  }
}

/** A logger that writes nothing, for tests and benches. */
export const silentLogger: Logger = { info: () => {}, warn: () => {}, error: () => {} }
