import { LossyPath, type LossyPathOptions, type PathLoss } from './LossyPath.js'

/** The connections of a process to a worker that a loss affects. */
export type AffectedConnections = 'all' | 'holds' | 'orders'

/** The network between all processes and one worker, for each kind of connection. */
export class WorkerPaths {
  private constructor (readonly holds: LossyPath, readonly orders: LossyPath) {}

  /**
   * Creates paths within a region that lose no packets.
   * @param options The clock and the random number generator.
   * @returns The paths.
   */
  static create (options: LossyPathOptions): WorkerPaths {
    return new WorkerPaths(LossyPath.create(options), LossyPath.create(options))
  }

  /** Whether a path loses packets now. */
  get isLossy (): boolean {
    return this.holds.isLossy || this.orders.isLossy
  }

  /**
   * Changes the share of packets that are lost from now on; connections that are not affected lose none.
   * @param loss The share in each direction, 0 where it is not given.
   * @param affected The connections that lose packets.
   */
  setLoss (loss: Partial<PathLoss>, affected: AffectedConnections = 'all'): void {
    const none: PathLoss = { toWorker: 0, fromWorker: 0 }
    this.holds.loss = affected === 'orders' ? none : { ...none, ...loss }
    this.orders.loss = affected === 'holds' ? none : { ...none, ...loss }
  }

  /**
   * Sets the length of both paths.
   * @param milliseconds The time that a round trip takes in addition to one within a region.
   */
  setExtraRoundTrip (milliseconds: number): void {
    this.holds.extraRoundTripMilliseconds = milliseconds
    this.orders.extraRoundTripMilliseconds = milliseconds
  }
}
