/** Measures the turns of the event loop while work is done. */
export class TurnProbe {
  private isRunning = true
  private turns = 0
  private longest = 0
  private startedAt = performance.now()

  private constructor () {}

  /**
   * Creates a probe that measures from the next turn on.
   * @returns The probe.
   */
  static create (): TurnProbe {
    const probe = new TurnProbe()
    probe.measureNext()
    return probe
  }

  /** Ends the measurement with the present turn. */
  stop (): { turns: number, longestMilliseconds: number } {
    this.record()
    this.isRunning = false
    return { turns: this.turns, longestMilliseconds: this.longest }
  }

  private measureNext (): void {
    setImmediate(() => {
      if (!this.isRunning) return
      this.record()
      this.measureNext()
    })
  }

  private record (): void {
    const now = performance.now()
    this.longest = Math.max(this.longest, now - this.startedAt)
    this.startedAt = now
    this.turns++
  }
}
