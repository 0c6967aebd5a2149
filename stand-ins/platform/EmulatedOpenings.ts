import type { CancelTimer, Clock } from '../../src/shared/Clock.js'
import type { EmulatedProcessor } from './EmulatedProcessor.js'

/** Options of the openings of a pool. */
export interface EmulatedOpeningsOptions {
  processor: EmulatedProcessor
  /** The clock of the network, which advances while the processor is busy. */
  clock: Clock
  /** How long the caller of an opening waits, Infinity for no limit. */
  limitMilliseconds: number
  /** How long one opening goes on after that. */
  lateMilliseconds: number
  /** Exchanges the packets that open a connection; returns a function that gives the opening up. */
  connect (onOpen: () => void): CancelTimer
  /** Returns whether no further connection is needed. */
  isClosed (): boolean
}

interface Opening {
  onEnd: (isOpen: boolean) => void
  isSettled: boolean
  giveUp: CancelTimer
  cancelLimit: CancelTimer
}

/** An unused connection is closed after this time, as in `src/shared/ConnectionOpener.ts`. */
const SPARE_MILLISECONDS = 5000

/** Opens the connections of one pool as `ConnectionOpener` does. */
export class EmulatedOpenings {
  private readonly waiting = new Set<Opening>()
  private late: Opening | null = null
  private cancelLate: CancelTimer = () => {}
  private cancelSpare: CancelTimer | null = null

  private constructor (private readonly options: EmulatedOpeningsOptions) {}

  /**
   * Creates the openings of a pool.
   * @param options The limits, and how a connection is opened.
   * @returns The openings.
   */
  static create (options: EmulatedOpeningsOptions): EmulatedOpenings {
    return new EmulatedOpenings(options)
  }

  /**
   * Opens a connection, or uses one that was opened late.
   * @param onEnd Called with whether the connection was opened within the limit.
   */
  open (onEnd: (isOpen: boolean) => void): void {
    const { processor, limitMilliseconds } = this.options
    if (this.cancelSpare !== null) {
      this.cancelSpare()
      this.cancelSpare = null
      onEnd(true)
      return
    }
    const opening: Opening = { onEnd, isSettled: false, giveUp: () => {}, cancelLimit: () => {} }
    this.waiting.add(opening)
    opening.giveUp = this.options.connect(() => processor.handle('timer', () => this.handleOpen(opening)))
    if (limitMilliseconds < Infinity) {
      // A connection that was opened by the time-out is used, so the time-out is handled after it.
      opening.cancelLimit = processor.clock.setTimer(limitMilliseconds, () => {
        processor.handle('timer', () => this.handleLimit(opening))
      })
    }
  }

  private handleOpen (opening: Opening): void {
    if (!opening.isSettled) {
      this.settle(opening, true)
      return
    }
    if (opening !== this.late) return
    this.endLate()
    if (this.options.isClosed()) return
    const [waiting] = this.waiting
    if (waiting === undefined) {
      this.cancelSpare?.()
      this.cancelSpare = this.options.processor.clock.setTimer(SPARE_MILLISECONDS, () => { this.cancelSpare = null })
      return
    }
    this.settle(waiting, true)
    this.goOnLate(waiting)
  }

  private handleLimit (opening: Opening): void {
    if (opening.isSettled) return
    this.settle(opening, false)
    this.goOnLate(opening)
  }

  private settle (opening: Opening, isOpen: boolean): void {
    opening.isSettled = true
    opening.cancelLimit()
    this.waiting.delete(opening)
    opening.onEnd(isOpen)
  }

  private goOnLate (opening: Opening): void {
    const { processor, lateMilliseconds } = this.options
    if (this.late !== null || lateMilliseconds === 0) {
      opening.giveUp()
      return
    }
    this.late = opening
    this.cancelLate = processor.clock.setTimer(lateMilliseconds, () => {
      opening.giveUp()
      this.late = null
    })
  }

  private endLate (): void {
    this.cancelLate()
    this.late = null
  }
}
