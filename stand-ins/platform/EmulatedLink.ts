import type { Clock } from '../../src/shared/Clock.js'
import { LinkDirection } from './LinkDirection.js'

/** Options of a link. */
export interface EmulatedLinkOptions {
  /** The clock of the network. */
  clock: Clock
  bitsPerSecond: number
  delayMilliseconds: number
}

/** The number of bytes of one transfer that may be in the link. */
const WINDOW_BYTES = 65_536

/** One direction of a link on a clock of a test: what is sent waits in one queue, in the order in which it arrives. */
export class EmulatedLink {
  private constructor (private readonly options: EmulatedLinkOptions, private readonly direction: LinkDirection) {}

  /**
   * Creates an idle link.
   * @param options The clock, the rate and the delay.
   * @returns The link.
   */
  static create (options: EmulatedLinkOptions): EmulatedLink {
    const { clock, bitsPerSecond, delayMilliseconds } = options
    const getTime = () => clock.monotonicMilliseconds()
    return new EmulatedLink(options, LinkDirection.create({ bitsPerSecond, delayMilliseconds, getTime }))
  }

  /** Number of bytes that were sent. */
  get carriedBytes (): number {
    return this.direction.carriedBytes
  }

  /** How long the next byte waits before it leaves. */
  get queuedMilliseconds (): number {
    return this.direction.queuedMilliseconds
  }

  /**
   * Sends one message behind all that was sent before.
   * @param byteCount The number of bytes.
   * @param onArrival Called when the last of them has arrived.
   */
  send (byteCount: number, onArrival: () => void): void {
    const { clock } = this.options
    clock.setTimer(this.direction.send(byteCount) - clock.monotonicMilliseconds(), onArrival)
  }

  /**
   * Sends a large message, of which at most one window is in the link at a time.
   * @param byteCount The number of bytes.
   * @param isWanted Returns whether the receiver still waits; otherwise nothing more is sent.
   * @returns Whether all bytes have arrived.
   */
  async transfer (byteCount: number, isWanted: () => boolean): Promise<boolean> {
    let remaining = byteCount
    do {
      if (!isWanted()) return false
      const size = Math.min(remaining, WINDOW_BYTES)
      remaining -= size
      await new Promise<void>(resolve => this.send(size, resolve))
      if (remaining > 0) await this.waitForAcknowledgement()
    } while (remaining > 0)
    return true
  }

  /**
   * Fills the queue with other traffic.
   * @param queueMilliseconds How long the next byte waits before it leaves.
   */
  fill (queueMilliseconds: number): void {
    const missing = queueMilliseconds - this.queuedMilliseconds
    if (missing > 0) this.direction.send(missing * this.options.bitsPerSecond / 8000)
  }

  private waitForAcknowledgement (): Promise<void> {
    const { clock, delayMilliseconds } = this.options
    return new Promise(resolve => { clock.setTimer(delayMilliseconds, resolve) })
  }
}
