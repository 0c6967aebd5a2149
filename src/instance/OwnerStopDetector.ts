import type { ProbeOutcome } from './OwnerPeer.js'

/** Number of consecutive refused connections after which the owner's process counts as stopped. */
const REFUSALS_UNTIL_STOPPED = 2

/** Finds out from probes of the owner's address whether the owner has stopped. */
export class OwnerStopDetector {
  private consecutiveRefusals = 0
  private stoppedSince: number | null = null

  private constructor () {}

  /**
   * Creates a detector that has recorded no probe.
   * @returns The detector.
   */
  static create (): OwnerStopDetector {
    return new OwnerStopDetector()
  }

  /** Monotonic time by which the owner had stopped; null while it may be active. */
  get stoppedAt (): number | null {
    return this.stoppedSince
  }

  /**
   * Records the outcome of a probe.
   * @param outcome The outcome.
   * @param now The monotonic time.
   */
  record (outcome: ProbeOutcome, now: number): void {
    this.consecutiveRefusals = outcome.kind === 'refused' ? this.consecutiveRefusals + 1 : 0
    // A process that responds without owning the shard has restarted or has given up the shard.
    const hasStopped = this.consecutiveRefusals >= REFUSALS_UNTIL_STOPPED ||
      (outcome.kind === 'alive' && !outcome.isOwner)
    this.stoppedSince = hasStopped ? this.stoppedSince ?? now : null
  }

  /**
   * Handles that another owner was observed, which may have acquired the shard after the recorded probes.
   * @param isAtSameAddress Whether it has the address that was probed, so that its next refusal is the second one.
   */
  handleNewOwner (isAtSameAddress: boolean): void {
    this.stoppedSince = null
    this.consecutiveRefusals = isAtSameAddress ? Math.min(this.consecutiveRefusals, REFUSALS_UNTIL_STOPPED - 1) : 0
  }
}
