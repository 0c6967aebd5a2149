import type { buildConnector as BuildConnector } from 'undici'
import { Socket } from 'node:net'
import type { CancelTimer, Clock } from './Clock.js'
import type { OpenConnection } from './HttpConnection.js'
import { runAfterPendingReads } from './runAfterPendingReads.js'
import { TimeLimit } from './TimeLimit.js'

/** The reason of a connection that was not open within its time limit. */
export const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT'

/** Options of an opener. */
export interface ConnectionOpenerOptions {
  /** Opens a connection; it must allow more time than the limits of the opener. */
  openConnection: OpenConnection
  clock: Clock
  /** How long the caller of an opening waits. */
  limitMilliseconds: number
  /** How long one opening goes on after that, 0 if its connection is closed. */
  lateMilliseconds: number
}

type OpeningCallback = BuildConnector.Callback

interface Opening {
  callback: OpeningCallback
  timeLimit: TimeLimit
  isSettled: boolean
  /** The connection that is being opened, if `openConnection` returns it, as undici does. */
  socket: unknown
}

/** An unused connection is closed after this time. */
const SPARE_MILLISECONDS = 5000

/**
 * Opens the connections to one address within a time limit, so that the next call opens another one. The system sends
 * the first packet of a connection again only after a second, and later each time, so a connection whose first packet
 * was lost costs more time than a new one.
 *
 * On a path whose round trip takes longer than the limit, no connection would ever open. So one opening goes on after
 * its limit, and its connection is used by the next call, or by the one that waits for an opening of its own.
 */
export class ConnectionOpener {
  private readonly waiting = new Set<Opening>()
  /** The opening that goes on after its limit. */
  private late: Opening | null = null
  private cancelLate: CancelTimer = () => {}
  private spare: Socket | null = null
  private cancelSpare: CancelTimer = () => {}
  private isClosed = false

  private constructor (private readonly options: ConnectionOpenerOptions) {}

  /**
   * Creates an opener without connections.
   * @param options How a connection is opened, and the limits.
   * @returns The opener.
   */
  static create (options: ConnectionOpenerOptions): ConnectionOpener {
    return new ConnectionOpener(options)
  }

  /**
   * Opens a connection within the limit, or fails with `CONNECT_TIMEOUT_CODE`.
   * @param connectOptions The host and the port, which are the same for all calls.
   * @param callback Receives the connection or the error.
   */
  readonly open = (connectOptions: BuildConnector.Options, callback: OpeningCallback): void => {
    const spare = this.takeSpare()
    if (spare !== null) {
      queueMicrotask(() => callback(null, spare))
      return
    }
    const { openConnection, clock, limitMilliseconds } = this.options
    const timeLimit = TimeLimit.create({ clock, runAfterPendingReads, onExpire: () => this.handleLimit(opening) })
    const opening: Opening = { callback, timeLimit, isSettled: false, socket: null }
    this.waiting.add(opening)
    timeLimit.start(limitMilliseconds)
    opening.socket = openConnection(connectOptions, (...result) => this.handleResult(opening, result))
  }

  /** Closes the connection that no call uses, and each one that opens later. */
  close (): void {
    this.isClosed = true
    this.takeSpare()?.destroy()
    if (this.late !== null) this.giveUpLate(this.late)
  }

  private handleResult (opening: Opening, result: BuildConnector.CallbackArgs): void {
    if (!opening.isSettled) {
      this.settle(opening, result)
      return
    }
    const isLate = opening === this.late
    if (isLate) this.endLate()
    const [, socket] = result
    if (socket === null) return
    if (!isLate || this.isClosed || socket.destroyed) {
      socket.destroy()
      return
    }
    const [waiting] = this.waiting
    if (waiting === undefined) {
      this.keepSpare(socket)
      return
    }
    this.settle(waiting, [null, socket])
    this.goOnLate(waiting)
  }

  private handleLimit (opening: Opening): void {
    const error = new Error('the connection was not open in time')
    this.settle(opening, [Object.assign(error, { code: CONNECT_TIMEOUT_CODE }), null])
    this.goOnLate(opening)
  }

  private settle (opening: Opening, result: BuildConnector.CallbackArgs): void {
    opening.isSettled = true
    opening.timeLimit.cancel()
    this.waiting.delete(opening)
    opening.callback(...result)
  }

  private goOnLate (opening: Opening): void {
    const { clock, lateMilliseconds } = this.options
    if (this.late !== null || this.isClosed || lateMilliseconds === 0) {
      destroySocket(opening)
      return
    }
    this.late = opening
    this.cancelLate = clock.setTimer(lateMilliseconds, () => this.giveUpLate(opening))
  }

  private giveUpLate (opening: Opening): void {
    this.endLate()
    destroySocket(opening)
  }

  private endLate (): void {
    this.cancelLate()
    this.late = null
  }

  private keepSpare (socket: Socket): void {
    this.takeSpare()?.destroy()
    this.spare = socket
    socket.on('error', this.dropSpare)
    socket.on('close', this.dropSpare)
    this.cancelSpare = this.options.clock.setTimer(SPARE_MILLISECONDS, this.dropSpare)
  }

  /** The worker may close a connection that no call uses. */
  private readonly dropSpare = (): void => { this.takeSpare()?.destroy() }

  private takeSpare (): Socket | null {
    const { spare } = this
    if (spare === null) return null
    this.spare = null
    this.cancelSpare()
    spare.off('close', this.dropSpare)
    if (!spare.destroyed) spare.off('error', this.dropSpare)
    return spare.destroyed ? null : spare
  }
}

/** Ends an opening, so that its packets are not sent again. */
function destroySocket ({ socket }: Opening): void {
  if (socket instanceof Socket) socket.destroy()
}
