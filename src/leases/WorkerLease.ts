import {
  MAX_CLOCK_DRIFT_RATIO, START_WINDOW_MILLISECONDS, WORKER_LEASE_MILLISECONDS
} from '../workers/WorkerProtocol.js'

/** Time from receipt of a proof until a lease renewed with it has expired, even with the greatest clock drift. */
export const RENEWED_LEASE_EXPIRY_MILLISECONDS = WORKER_LEASE_MILLISECONDS * (1 + MAX_CLOCK_DRIFT_RATIO)
/** Time from receipt of a proof until the worker refuses a start with it, even with the greatest clock drift. */
export const SENT_START_EXPIRY_MILLISECONDS = START_WINDOW_MILLISECONDS * (1 + MAX_CLOCK_DRIFT_RATIO)
/** How long an owner that cannot reach the store keeps renewing the leases on its workers, by its own clock. */
export const DETACHED_RENEWAL_LIMIT_MILLISECONDS = 90 * 60_000
/** How long a successor waits for a deposed owner that does not respond: the limit plus the greatest clock drift. */
export const DETACHED_OWNER_WAIT_MILLISECONDS = DETACHED_RENEWAL_LIMIT_MILLISECONDS * (1 + MAX_CLOCK_DRIFT_RATIO)

/** A clock reading from a worker's answer, sent back to the worker to date lease renewals and starts. */
export interface Proof {
  /** The worker's monotonic time; only the worker compares it. */
  workerTime: number
  /** The owner's monotonic time when the answer arrived. */
  receivedAt: number
}

/**
 * An owner's view of its lease on one worker.
 *
 * All times are monotonic milliseconds of the owner's clock, except `workerTime`.
 */
export class WorkerLease {
  private latest: Proof | null = null
  private previous: Proof | null = null
  /** The time by which every lease on the worker has expired; infinite while an earlier owner's lease is unbounded. */
  private latestExpiry: number

  private constructor (certainEnd: number) {
    this.latestExpiry = certainEnd
  }

  /**
   * Creates the lease record of a worker.
   * @param options Whether an earlier owner may hold a lease on the worker.
   * @returns The lease record.
   */
  static create (options: { mayBeLeased: boolean }): WorkerLease {
    return new WorkerLease(options.mayBeLeased ? Infinity : -Infinity)
  }

  /** Records an accepted answer; from then on the worker rejects exchanges of earlier epochs. */
  recordAnswer (workerTime: number, now: number): void {
    this.previous = this.latest
    this.latest = { workerTime, receivedAt: now }
    // The worker no longer accepts renewals from an earlier owner, so only this owner can extend the lease.
    if (this.latestExpiry === Infinity) this.latestExpiry = now + RENEWED_LEASE_EXPIRY_MILLISECONDS
  }

  /** Records that a renewal with the proof was sent; it may arrive even if no answer does. */
  recordRenewal (proof: Proof): void {
    this.latestExpiry = Math.max(this.latestExpiry, proof.receivedAt + RENEWED_LEASE_EXPIRY_MILLISECONDS)
  }

  /** Bounds the expiry of an earlier owner's lease: that owner sends no renewals after the given time. */
  recordEarlierOwnerStopped (stoppedAt: number): void {
    this.latestExpiry = Math.min(this.latestExpiry, stoppedAt + RENEWED_LEASE_EXPIRY_MILLISECONDS)
  }

  /**
   * Returns the newest proof, for a renewal.
   * @returns The proof, or null before the first answer.
   */
  getProof (): Proof | null {
    return this.latest
  }

  /**
   * Returns the proof for a start; the worker refuses the start once this proof is older than the start window.
   * @param notAfter The latest permitted time of receipt of the proof.
   * @param now The monotonic time.
   * @returns The newest proof received by `notAfter` if the worker still accepts it, or null.
   */
  getStartProof (notAfter: number, now: number): Proof | null {
    for (const proof of [this.latest, this.previous]) {
      if (proof === null || proof.receivedAt > notAfter) continue
      return now - proof.receivedAt < START_WINDOW_MILLISECONDS ? proof : null
    }
    return null
  }

  /**
   * Returns whether every lease on the worker has expired, even with the greatest clock drift.
   * @param now The monotonic time.
   * @returns Whether tasks of the worker may be started elsewhere.
   */
  hasExpired (now: number): boolean {
    return now >= this.latestExpiry
  }

  getLatestExpiry (): number {
    return this.latestExpiry
  }
}
