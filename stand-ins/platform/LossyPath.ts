import type { CancelTimer, Clock } from '../../src/shared/Clock.js'
import { LossyStream } from './LossyStream.js'

/** The share of packets that are lost in each direction, 0 to 1. */
export interface PathLoss {
  toWorker: number
  fromWorker: number
}

/** The direction of a packet. */
export type PathDirection = keyof PathLoss

/** Options of a path. */
export interface LossyPathOptions {
  /** The clock of the network. */
  clock: Clock
  random: () => number
}

/** Time after which a lost packet that opens a connection, or its response, is sent again; it doubles each time. */
const FIRST_OPENING_RETRY_MILLISECONDS = 1000
/** Time after which a lost segment of an open connection is sent again; it doubles each time. */
const FIRST_SEGMENT_RETRY_MILLISECONDS = 200

/**
 * Emulates TCP between a process and a worker over a network that loses packets: a lost one is sent again later, even
 * if the process has given up the call by then.
 */
export class LossyPath {
  /** The current loss; a test may change it at any time, which also affects packets that are sent again. */
  loss: PathLoss = { toWorker: 0, fromWorker: 0 }
  /** Milliseconds that a round trip takes in addition to one within a region. */
  extraRoundTripMilliseconds = 0

  private constructor (private readonly options: LossyPathOptions) {}

  /**
   * Creates a path within a region that loses no packets.
   * @param options The clock and the random number generator, which is used only while packets are lost.
   * @returns The path.
   */
  static create (options: LossyPathOptions): LossyPath {
    return new LossyPath(options)
  }

  /** Whether the path loses packets now. */
  get isLossy (): boolean {
    return this.loss.toWorker > 0 || this.loss.fromWorker > 0
  }

  /**
   * Opens a connection.
   * @param onOpen Called when it is open, immediately if no packet is lost and the path is within a region.
   * @returns A function that gives up the opening.
   */
  open (onOpen: () => void): CancelTimer {
    let cancelTimer: CancelTimer = () => {}
    const attempt = (retryMilliseconds: number): void => {
      if (this.isLost('toWorker') || this.isLost('fromWorker')) {
        cancelTimer = this.options.clock.setTimer(retryMilliseconds, () => attempt(retryMilliseconds * 2))
      } else {
        cancelTimer = this.runAfter(this.extraRoundTripMilliseconds, onOpen)
      }
    }
    attempt(FIRST_OPENING_RETRY_MILLISECONDS)
    return () => cancelTimer()
  }

  /**
   * Creates the stream of an open connection.
   * @returns The stream, without segments in flight.
   */
  createStream (): LossyStream {
    return LossyStream.create({
      transmit: (direction, onArrival) => this.transmit(direction, FIRST_SEGMENT_RETRY_MILLISECONDS, onArrival)
    })
  }

  private transmit (direction: PathDirection, retryMilliseconds: number, onArrival: () => void): void {
    if (this.isLost(direction)) {
      this.options.clock.setTimer(retryMilliseconds, () => this.transmit(direction, retryMilliseconds * 2, onArrival))
    } else {
      this.runAfter(this.extraRoundTripMilliseconds / 2, onArrival)
    }
  }

  private isLost (direction: PathDirection): boolean {
    const share = this.loss[direction]
    return share > 0 && this.options.random() < share
  }

  private runAfter (milliseconds: number, callback: () => void): CancelTimer {
    if (milliseconds > 0) return this.options.clock.setTimer(milliseconds, callback)
    callback()
    return () => {}
  }
}
