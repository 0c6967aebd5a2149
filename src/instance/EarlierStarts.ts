/** Options of the state. */
export interface EarlierStartsOptions {
  /** Monotonic time until which an earlier owner may start tasks; null when it has stopped. */
  endAt: number | null
}

/** A response of the feed may lack rows that were stored this long before it arrives. */
const FEED_DELAY_MILLISECONDS = 1000

/**
 * Whether a job that is read from the feed may have been stored while an earlier owner could still start its tasks.
 * That depends on when it was stored, and thus on when the feed was read before, and not on when it is read.
 */
export class EarlierStarts {
  private isOver: boolean

  private constructor (private readonly options: EarlierStartsOptions) {
    this.isOver = options.endAt === null
  }

  /**
   * Creates the state of an owner that has read no feed.
   * @param options When the starts of earlier owners end.
   * @returns The state.
   */
  static create (options: EarlierStartsOptions): EarlierStarts {
    return new EarlierStarts(options)
  }

  /** Whether jobs that are read from now on were stored after the last start of an earlier owner. */
  get areOver (): boolean {
    return this.isOver
  }

  /**
   * Updates the state; called at short intervals, and never between the arrival of jobs and their use.
   * @param feedReadAt Monotonic time of the last response of the feed whose jobs were used.
   */
  update (feedReadAt: number): void {
    const { endAt } = this.options
    this.isOver ||= endAt === null || feedReadAt >= endAt + FEED_DELAY_MILLISECONDS
  }
}
