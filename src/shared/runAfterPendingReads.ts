import type { CancelTimer } from './Clock.js'

/**
 * Runs a callback after two turns of the event loop. Immediates run after all readable sockets have been read, and a
 * connection that a response has freed starts its next call one turn later.
 * @param callback The callback.
 * @returns Cancels the callback.
 */
export function runAfterPendingReads (callback: () => void): CancelTimer {
  let immediate = setImmediate(() => { immediate = setImmediate(callback) })
  return () => clearImmediate(immediate)
}
