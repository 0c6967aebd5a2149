import type { Clock } from '../../src/shared/Clock.js'

/** One fault that lasts. */
export interface LastingFault {
  /** The IDs of the instances and workers that it affects. */
  affected: string[]
  durationMilliseconds: number
  /** Called once, when the fault ends; `isEarly` says that all faults are ended before its time. */
  end (isEarly: boolean): void
}

/** The faults of a site that last at the same time. */
export class LastingFaults {
  private readonly ends = new Map<LastingFault, (isEarly: boolean) => void>()
  private readonly cancellations = new Set<() => void>()
  private lastEndAt: number
  private disturbedUntil = -Infinity

  private constructor (private readonly clock: Clock) {
    this.lastEndAt = clock.monotonicMilliseconds()
  }

  /**
   * Creates the faults of a site that has none.
   * @param options The clock.
   * @returns The faults.
   */
  static create (options: { clock: Clock }): LastingFaults {
    return new LastingFaults(options.clock)
  }

  /** Time since which no fault lasts, or null while one does. */
  get calmSince (): number | null {
    if (this.ends.size > 0 || this.clock.monotonicMilliseconds() < this.disturbedUntil) return null
    return Math.max(this.lastEndAt, this.disturbedUntil)
  }

  /** Returns whether a fault that lasts affects an instance or a worker. */
  isAffected (id: string): boolean {
    for (const fault of this.ends.keys()) if (fault.affected.includes(id)) return true
    return false
  }

  /**
   * Begins a fault, which ends after its duration or when all faults are ended.
   * @param fault The fault.
   * @returns A function that ends it now.
   */
  begin (fault: LastingFault): () => void {
    const cancelTimer = this.clock.setTimer(fault.durationMilliseconds, () => end(false))
    const end = (isEarly: boolean) => {
      if (!this.ends.has(fault)) return
      cancelTimer()
      this.ends.delete(fault)
      fault.end(isEarly)
      this.lastEndAt = this.clock.monotonicMilliseconds()
    }
    this.ends.set(fault, end)
    return () => end(false)
  }

  /** Notes that messages of a fault that has ended may still arrive for a while, which cannot be prevented. */
  disturb (milliseconds: number): void {
    this.disturbedUntil = Math.max(this.disturbedUntil, this.clock.monotonicMilliseconds() + milliseconds)
  }

  /**
   * Runs an action that belongs to no fault yet, unless all faults are ended before.
   * @param delayMilliseconds The time until then.
   * @param action The action.
   */
  schedule (delayMilliseconds: number, action: () => void): void {
    const cancel = this.clock.setTimer(delayMilliseconds, () => {
      this.cancellations.delete(cancel)
      action()
    })
    this.cancellations.add(cancel)
  }

  /** Calls an action when all faults are ended; returns a function that forgets it. */
  onEndAll (action: () => void): () => void {
    this.cancellations.add(action)
    return () => { this.cancellations.delete(action) }
  }

  /** Ends all faults, with those that begin at the end of another, and cancels all scheduled actions. */
  endAll (): void {
    do {
      for (const cancel of this.cancellations) cancel()
      this.cancellations.clear()
      for (const end of [...this.ends.values()]) end(true)
    } while (this.ends.size + this.cancellations.size > 0)
  }
}
