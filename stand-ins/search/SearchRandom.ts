import { createRandom } from '../shared/createRandom.js'

/** Draws the values of a schedule from a seed. */
export class SearchRandom {
  private constructor (private readonly random: () => number) {}

  /**
   * Creates a source of values.
   * @param seed The seed.
   * @returns The source.
   */
  static create (seed: number): SearchRandom {
    return new SearchRandom(createRandom(seed))
  }

  /** Returns a whole number from a minimum to a maximum, both inclusive. */
  integer (minimum: number, maximum: number): number {
    return minimum + Math.floor(this.random() * (maximum - minimum + 1))
  }

  /** Returns one of the values. */
  choose<Value> (values: readonly Value[]): Value {
    return values[this.integer(0, values.length - 1)]
  }

  /** Returns true with a probability from 0 to 1. */
  isTrue (probability: number): boolean {
    return this.random() < probability
  }

  /** Returns a mean, spread by up to a factor in either direction, as a whole number. */
  spread (mean: number, factor: number): number {
    return Math.max(1, Math.round(mean * factor ** (this.random() * 2 - 1)))
  }
}
