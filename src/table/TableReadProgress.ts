import type { Row } from './TableService.js'

/** What has been read of a partition. */
export interface PartitionProgress {
  rows: Row[]
  /** The version of the earliest page, Infinity before the first one. */
  version: number
  /** The first key of the next page. */
  from: string
  isComplete: boolean
}

/**
 * The pages that have been read of a table, so that a read after a failure continues there.
 *
 * Answers a new owner with a large backlog behind a slow or lossy link: a read that begins again after each failure may
 * never end. The rows are those of different points in time, from the version of the earliest page on.
 */
export class TableReadProgress {
  private readonly partitions = new Map<string, PartitionProgress>()

  private constructor () {}

  /**
   * Creates the progress of a read that has not begun.
   * @returns The progress.
   */
  static create (): TableReadProgress {
    return new TableReadProgress()
  }

  /**
   * Returns the progress of a partition, which the reader updates.
   * @param partition The partition.
   * @returns Its progress.
   */
  get (partition: string): PartitionProgress {
    let progress = this.partitions.get(partition)
    if (progress === undefined) {
      progress = { rows: [], version: Infinity, from: '', isComplete: false }
      this.partitions.set(partition, progress)
    }
    return progress
  }
}
