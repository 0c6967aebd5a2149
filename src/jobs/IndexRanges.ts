/** A set of indexes that stores neighbouring ones as one range. */
export class IndexRanges {
  /** The first index of each range, in ascending order. */
  private readonly starts: number[] = []
  /** The index after the last one of each range. */
  private readonly ends: number[] = []
  private count = 0

  private constructor () {}

  /**
   * Creates an empty set.
   * @returns The set.
   */
  static create (): IndexRanges {
    return new IndexRanges()
  }

  /** The number of indexes in the set. */
  get size (): number {
    return this.count
  }

  /** Returns whether the set has an index. */
  has (index: number): boolean {
    const position = this.findRange(index)
    return position >= 0 && index < this.ends[position]
  }

  /** Adds an index. */
  add (index: number): void {
    const position = this.findRange(index)
    if (position >= 0 && index < this.ends[position]) return
    this.count++
    const extendsPrevious = position >= 0 && this.ends[position] === index
    const extendsNext = this.starts[position + 1] === index + 1
    if (extendsPrevious && extendsNext) {
      this.ends.splice(position, 1)
      this.starts.splice(position + 1, 1)
    } else if (extendsPrevious) {
      this.ends[position] = index + 1
    } else if (extendsNext) {
      this.starts[position + 1] = index
    } else {
      this.starts.splice(position + 1, 0, index)
      this.ends.splice(position + 1, 0, index + 1)
    }
  }

  /** Returns the position of the last range that starts at or before an index, -1 for none. */
  private findRange (index: number): number {
    let low = 0
    let high = this.starts.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.starts[middle] <= index) low = middle + 1
      else high = middle
    }
    return low - 1
  }
}
