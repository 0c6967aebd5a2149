/** Limits of the rows of one page; the platform's store lists a page of the largest rows in half a second. */
const MAXIMUM_ROWS = 100
const MINIMUM_ROWS = 5
/** The encoded size of a large job; most are smaller. */
const ROW_BYTES = 4000
/** A page takes about this long on an idle link, a fraction of its time limit, because other calls share the link. */
const PAGE_MILLISECONDS = 250
const BYTES_PER_MEGABIT = 125_000

/**
 * The number of rows that are read in one page of a table.
 *
 * Answers a takeover of an instance with a weak link under a large backlog: pages that take longer than their time
 * limit fail again and again, and the shard is never loaded. The size is halved after a page without a response, and
 * doubled again after a table without such pages.
 */
export class PageSize {
  private readonly initialRows: number

  private constructor (private rows: number) {
    this.initialRows = rows
  }

  /**
   * Creates the page size for a link.
   * @param linkMegabitsPerSecond The speed of the link of this instance.
   * @returns The page size.
   */
  static create (linkMegabitsPerSecond: number): PageSize {
    const rows = linkMegabitsPerSecond * BYTES_PER_MEGABIT * PAGE_MILLISECONDS / 1000 / ROW_BYTES
    return new PageSize(limitRows(rows))
  }

  /** The number of rows of the next page. */
  get rowLimit (): number {
    return this.rows
  }

  /** Makes pages larger again after a table whose pages have all arrived in time, up to the size for the link. */
  increase (): void {
    this.rows = Math.min(this.initialRows, limitRows(this.rows * 2))
  }

  /** Makes pages smaller after one that got no response in time. */
  decrease (): void {
    this.rows = limitRows(this.rows / 2)
  }
}

function limitRows (rows: number): number {
  return Math.round(Math.max(MINIMUM_ROWS, Math.min(MAXIMUM_ROWS, rows)))
}
