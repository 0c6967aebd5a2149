/** Options of one direction of a link. */
export interface LinkDirectionOptions {
  bitsPerSecond: number
  /** Time that each byte travels after it has left the sending end. */
  delayMilliseconds: number
  /** Returns the time in milliseconds. */
  getTime (): number
}

/** One direction of a link: all senders share its rate, and what is sent leaves in the order of the calls. */
export class LinkDirection {
  /** Number of bytes that were sent. */
  carriedBytes = 0
  /** The longest time from a call of `send` to the arrival of its last byte, 0 before the first. */
  longestTravelMilliseconds = 0
  private freeAt = -Infinity

  private constructor (private readonly options: LinkDirectionOptions) {}

  /**
   * Creates an idle direction.
   * @param options The rate, the delay and the source of the time.
   * @returns The direction.
   */
  static create (options: LinkDirectionOptions): LinkDirection {
    return new LinkDirection(options)
  }

  /** Time that each byte travels after it has left the sending end. */
  get delayMilliseconds (): number {
    return this.options.delayMilliseconds
  }

  /** The time until the last byte of all that was sent has left the sending end, 0 while the direction is idle. */
  get queuedMilliseconds (): number {
    return Math.max(0, this.freeAt - this.options.getTime())
  }

  /**
   * Sends bytes behind all that were sent before.
   * @param byteCount The number of bytes.
   * @returns The time at which the last of them arrives.
   */
  send (byteCount: number): number {
    const { bitsPerSecond, delayMilliseconds, getTime } = this.options
    this.carriedBytes += byteCount
    const now = getTime()
    this.freeAt = Math.max(this.freeAt, now) + byteCount * 8 * 1000 / bitsPerSecond
    const arrivesAt = this.freeAt + delayMilliseconds
    this.longestTravelMilliseconds = Math.max(this.longestTravelMilliseconds, arrivesAt - now)
    return arrivesAt
  }
}
