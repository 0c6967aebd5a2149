import { createHash } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'

/** Names the caller when keys are not in use. */
export const CALLER_HEADER = 'papayamoor-caller'
const ANONYMOUS_CALLER = 'anonymous'
/** Callers are keys of queues and rows; longer names are cut. */
const MAXIMUM_CALLER_LENGTH = 64

/** Finds out who a caller is. */
export class CallerAuthenticator {
  private constructor (private readonly callersByDigest: ReadonlyMap<string, string>) {}

  /**
   * Creates an authenticator.
   * @param options The caller of each SHA-256 digest of a bearer key; without digests callers name themselves.
   * @returns The authenticator.
   */
  static create (options: { callersByDigest: ReadonlyMap<string, string> }): CallerAuthenticator {
    return new CallerAuthenticator(options.callersByDigest)
  }

  /**
   * Identifies the caller of a request.
   * @param headers The headers of the request.
   * @returns The name of the caller, or null when its key is missing or not known.
   */
  identify (headers: IncomingHttpHeaders): string | null {
    if (this.callersByDigest.size === 0) {
      return String(headers[CALLER_HEADER] ?? ANONYMOUS_CALLER).slice(0, MAXIMUM_CALLER_LENGTH)
    }
    const match = /^Bearer (\S+)$/i.exec(headers.authorization ?? '')
    if (match === null) return null
    // Looking up a digest reveals nothing of a key by its timing, as the digest of a guess is not under control.
    return this.callersByDigest.get(createHash('sha256').update(match[1]).digest('hex')) ?? null
  }
}
