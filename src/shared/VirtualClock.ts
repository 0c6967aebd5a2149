import { Heap } from 'heap-js'
import type { CancelTimer, Clock } from './Clock.js'

interface VirtualTimer {
  dueMilliseconds: number
  sequence: number
  callback: () => void
  cancelled: boolean
}

/** A clock that only `advance` moves, for tests and benchmarks. */
export class VirtualClock implements Clock {
  private readonly timers = new Heap<VirtualTimer>(
    (left, right) => left.dueMilliseconds - right.dueMilliseconds || left.sequence - right.sequence
  )

  private sequence = 0

  private constructor (private currentMilliseconds: number) {}

  /**
   * Creates a clock.
   * @param startMilliseconds The initial time.
   * @returns The clock.
   */
  static create (startMilliseconds = 0): VirtualClock {
    return new VirtualClock(startMilliseconds)
  }

  monotonicMilliseconds (): number {
    return this.currentMilliseconds
  }

  wallMilliseconds (): number {
    return this.currentMilliseconds
  }

  setTimer (delayMilliseconds: number, callback: () => void): CancelTimer {
    const timer: VirtualTimer = {
      dueMilliseconds: this.currentMilliseconds + Math.max(0, delayMilliseconds),
      sequence: this.sequence++,
      callback,
      cancelled: false
    }
    this.timers.push(timer)
    return () => { timer.cancelled = true }
  }

  /**
   * Moves the clock and runs every timer that becomes due, in order. Promises settle after each timer.
   * @param durationMilliseconds How far the clock moves.
   */
  async advance (durationMilliseconds: number): Promise<void> {
    const end = this.currentMilliseconds + durationMilliseconds
    await settlePromises()
    for (let next = this.timers.peek(); next !== undefined && next.dueMilliseconds <= end; next = this.timers.peek()) {
      this.timers.pop()
      if (next.cancelled) continue
      this.currentMilliseconds = Math.max(this.currentMilliseconds, next.dueMilliseconds)
      next.callback()
      await settlePromises()
    }
    this.currentMilliseconds = end
  }
}

/** Waits until every promise that doesn't depend on a timer has settled. */
function settlePromises (): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}
