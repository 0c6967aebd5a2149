/** Assigns a small, stable number to each distinct name. */
export class Interner {
  private readonly numbers = new Map<string, number>()
  private readonly names: string[] = []

  private constructor () {}

  /**
   * Creates an empty interner.
   * @returns The interner.
   */
  static create (): Interner {
    return new Interner()
  }

  get count (): number {
    return this.names.length
  }

  /**
   * Returns the number of a name; a new name is assigned the next number.
   * @param name The name.
   * @returns The number, from 0.
   */
  intern (name: string): number {
    const known = this.numbers.get(name)
    if (known !== undefined) return known
    const added = this.names.length
    this.numbers.set(name, added)
    this.names.push(name)
    return added
  }

  /**
   * Looks a name up without adding it.
   * @param name The name.
   * @returns The number, or undefined when the name has none.
   */
  getNumber (name: string): number | undefined {
    return this.numbers.get(name)
  }

  /**
   * Returns the name to which a number is assigned.
   * @param number The number.
   * @returns The name.
   */
  getName (number: number): string {
    return this.names[number]
  }
}
