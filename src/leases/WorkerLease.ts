import { MAX_CLOCK_DRIFT_RATIO, START_WINDOW_MILLISECONDS, WORKER_LEASE_MILLISECONDS } from '../workers/WorkerProtocol.js'

/** From the receipt of the proof that a renewal used until the lease has certainly ended on the worker. */
export const RENEWED_LEASE_EXPIRY_MILLISECONDS = WORKER_LEASE_MILLISECONDS * (1 + MAX_CLOCK_DRIFT_RATIO)
/** From the receipt of the proof that a start used until the worker certainly refuses that start. */
export const SENT_START_EXPIRY_MILLISECONDS = START_WINDOW_MILLISECONDS * (1 + MAX_CLOCK_DRIFT_RATIO)
/** How long an owner without the store keeps renewing the leases of its workers, by its own clock. */
export const DETACHED_RENEWAL_LIMIT_MILLISECONDS = 90 * 60_000
/** How long a successor waits for a deposed owner that it cannot ask: the limit and the greatest clock drift. */
export const DETACHED_OWNER_WAIT_MILLISECONDS = DETACHED_RENEWAL_LIMIT_MILLISECONDS * (1 + MAX_CLOCK_DRIFT_RATIO)

/** A worker's clock reading and when it was received here. */
export interface Proof {
  workerTime: number
  receivedAt: number
}

/**
 * An owner's account of its lease on one worker.
 *
 * All times are the owner's monotonic milliseconds, but for `workerTime`, which only the worker compares.
 */
export class WorkerLease {
  private latest: Proof | null = null
  private previous: Proof | null = null
  /** Infinite after a takeover until the end of an earlier owner's lease is certain. */
  private latestExpiry: number

  private constructor (certainEnd: number) {
    this.latestExpiry = certainEnd
  }

  /**
   * Creates the account.
   * @param options Whether an earlier owner may hold a lease on the worker.
   * @returns The account.
   */
  static create (options: { mayBeLeased: boolean }): WorkerLease {
    return new WorkerLease(options.mayBeLeased ? Infinity : -Infinity)
  }

  /** Takes note of an accepted answer; the worker has refused earlier epochs since before it answered. */
  recordAnswer (workerTime: number, now: number): void {
    this.previous = this.latest
    this.latest = { workerTime, receivedAt: now }
    // The lease of an earlier owner, if any, is now renewed by this owner's proofs only.
    if (this.latestExpiry === Infinity) this.latestExpiry = now + RENEWED_LEASE_EXPIRY_MILLISECONDS
  }

  /** Takes note that a renewal with the proof was sent, whether or not it arrives. */
  recordRenewal (proof: Proof): void {
    this.latestExpiry = Math.max(this.latestExpiry, proof.receivedAt + RENEWED_LEASE_EXPIRY_MILLISECONDS)
  }

  /** Limits the lease of an earlier owner that has certainly stopped renewing at the given time. */
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
   * Chooses the proof for a start, so that the worker refuses the start soon after the limit.
   * @param notAfter The latest time of receipt.
   * @param now The monotonic time.
   * @returns The newest proof received by the limit that the worker would still accept, or null.
   */
  getStartProof (notAfter: number, now: number): Proof | null {
    for (const proof of [this.latest, this.previous]) {
      if (proof === null || proof.receivedAt > notAfter) continue
      return now - proof.receivedAt < START_WINDOW_MILLISECONDS ? proof : null
    }
    return null
  }

  /**
   * Tells whether no lease on the worker can be in force any more.
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
