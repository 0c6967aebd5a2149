/** The share of the starts of plans that is reserved for restarts; other work gets the remainder. */
const RESERVED_SHARE = 0.5

/**
 * Divides the starts of plans between restarts and other work.
 *
 * After an outage all long-running tasks of a site may have to start again. Without the share they would wait for a
 * backlog of other work, or urgent work would wait for all of them.
 */
export class RestartShare {
  /** The fraction of a start that earlier plans left, so that plans of single starts alternate. */
  private carried = 0

  private constructor () {}

  /**
   * Creates the share before the first plan.
   * @returns The share.
   */
  static create (): RestartShare {
    return new RestartShare()
  }

  /**
   * Reserves starts of a plan.
   * @param startLimit The number of starts of the plan.
   * @returns The number of starts that restarts may use before other work.
   */
  reserve (startLimit: number): number {
    const budget = startLimit * RESERVED_SHARE + this.carried
    const reserved = Math.floor(budget)
    this.carried = Number.isFinite(budget) ? budget - reserved : 0
    return reserved
  }
}
