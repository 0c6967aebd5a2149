import { createHash } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'

/** The request header that names the caller when no bearer keys are configured. */
export const CALLER_HEADER = 'papayamoor-caller'
const ANONYMOUS_CALLER = 'anonymous'
/** Longer caller names are truncated, because they are used as keys of queues and rows. */
const MAXIMUM_CALLER_LENGTH = 64

/** Authenticates callers by bearer key, or takes their name from a header when no keys are configured. */
export class CallerAuthenticator {
  private constructor (private readonly callersByDigest: ReadonlyMap<string, string>) {}

  /**
   * Creates an authenticator.
   * @param options The callers by SHA-256 digest of their bearer key; without digests callers name themselves.
   * @returns The authenticator.
   */
  static create (options: { callersByDigest: ReadonlyMap<string, string> }): CallerAuthenticator {
    return new CallerAuthenticator(options.callersByDigest)
  }

  /**
   * Identifies the caller of a request.
   * @param headers The headers of the request.
   * @returns The name of the caller, or null when its key is missing or unknown.
   */
  identify (headers: IncomingHttpHeaders): string | null {
    if (this.callersByDigest.size === 0) {
      return String(headers[CALLER_HEADER] ?? ANONYMOUS_CALLER).slice(0, MAXIMUM_CALLER_LENGTH)
    }
    const match = /^Bearer (\S+)$/i.exec(headers.authorization ?? '')
    if (match === null) return null
    // The lookup time reveals nothing about the keys, because a caller cannot choose the digest of a guessed key.
    return this.callersByDigest.get(createHash('sha256').update(match[1]).digest('hex')) ?? null
  }
}
