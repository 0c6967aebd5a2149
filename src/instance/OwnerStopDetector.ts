import type { ProbeOutcome } from './OwnerPeer.js'

/** Number of consecutive refused connections after which the owner's process counts as stopped. */
const REFUSALS_UNTIL_STOPPED = 2

/** Finds out from probes of the owner's address whether the owner has stopped. */
export class OwnerStopDetector {
  private consecutiveRefusals = 0
  private isStopped = false

  private constructor () {}

  /**
   * Creates a detector that has recorded no probe.
   * @returns The detector.
   */
  static create (): OwnerStopDetector {
    return new OwnerStopDetector()
  }

  /** Whether the owner has stopped. */
  get hasStopped (): boolean {
    return this.isStopped
  }

  /**
   * Records the outcome of a probe.
   * @param outcome The outcome.
   */
  record (outcome: ProbeOutcome): void {
    this.consecutiveRefusals = outcome.kind === 'refused' ? this.consecutiveRefusals + 1 : 0
    // A process that responds without owning the shard has restarted or has given up the shard.
    this.isStopped = this.consecutiveRefusals >= REFUSALS_UNTIL_STOPPED ||
      (outcome.kind === 'alive' && !outcome.isOwner)
  }

  /**
   * Handles that another owner was observed, which may have acquired the shard after the recorded probes.
   * @param isAtSameAddress Whether it has the address that was probed, so that its next refusal is the second one.
   */
  handleNewOwner (isAtSameAddress: boolean): void {
    this.isStopped = false
    this.consecutiveRefusals = isAtSameAddress ? Math.min(this.consecutiveRefusals, REFUSALS_UNTIL_STOPPED - 1) : 0
  }
}
