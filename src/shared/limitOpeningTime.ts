import type { Clock } from './Clock.js'
import type { OpenConnection } from './HttpConnection.js'
import { runAfterPendingReads } from './runAfterPendingReads.js'
import { TimeLimit } from './TimeLimit.js'

/** The reason of a connection that was not open within its time limit. */
export const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT'

/**
 * Limits the time to open a connection, so that the next call opens another one. The system sends the first packet of a
 * connection again only after a second, and later each time, so a connection whose first packet was lost costs more
 * time than a new one.
 * @param openConnection Opens a connection.
 * @param options The clock and the limit in milliseconds.
 * @returns A function that opens a connection within the limit or fails with `CONNECT_TIMEOUT_CODE`.
 */
export function limitOpeningTime (
  openConnection: OpenConnection, options: { clock: Clock, milliseconds: number }
): OpenConnection {
  return (connectOptions, callback) => {
    let isSettled = false
    const timeLimit = TimeLimit.create({
      clock: options.clock,
      runAfterPendingReads,
      onExpire: () => {
        isSettled = true
        callback(Object.assign(new Error('the connection was not open in time'), { code: CONNECT_TIMEOUT_CODE }), null)
      }
    })
    timeLimit.start(options.milliseconds)
    openConnection(connectOptions, (...result) => {
      if (isSettled) {
        result[1]?.destroy()
        return
      }
      isSettled = true
      timeLimit.cancel()
      callback(...result)
    })
  }
}
