import type { OwnerApi } from '../../src/instance/index.js'

/** The queued jobs of a queue that an owner plans. */
export class QueuedJobs {
  private latestCount = 0

  private constructor (private readonly queueName: string) {}

  /**
   * Creates a count of no jobs.
   * @param options The queue.
   * @returns The count.
   */
  static create (options: { queueName: string }): QueuedJobs {
    return new QueuedJobs(options.queueName)
  }

  /**
   * Counts the jobs; an owner whose copy is too old for an answer plans those that it gave last.
   * @param ownerApi The owner, if there is one.
   * @returns The number, 0 without an owner that has loaded its jobs.
   */
  count (ownerApi: OwnerApi | undefined): number {
    if (ownerApi === undefined || ownerApi.getJobState('') === null) return 0
    this.latestCount = ownerApi.countWaiting(this.queueName) ?? this.latestCount
    return this.latestCount
  }
}
