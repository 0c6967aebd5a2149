import type { JsonValue } from './JsonValue.js'

/** Options of parsing in turns. */
export interface ParseInTurnsOptions {
  bytes: Buffer
  /** The least size of a slice that is parsed in one turn; the element at its end is parsed as a whole. */
  sliceBytes?: number
  /** Resolves in a later turn of the event loop. */
  endTurn (): Promise<void>
}

/** JSON of this size takes about a millisecond on a whole processor. */
const SLICE_BYTES = 65_536
const QUOTE = 0x22
const BACKSLASH = 0x5c
const COMMA = 0x2c
const OPENING_BRACKET = 0x5b
const CLOSING_BRACKET = 0x5d
const OPENING_BRACE = 0x7b
const CLOSING_BRACE = 0x7d

/**
 * Parses a large JSON object in slices of the arrays among its fields, with a turn of the event loop for each slice.
 *
 * Answers a large configuration on an instance with a fraction of a processor: no caller is answered and no lease is
 * renewed while it is parsed.
 * @param options The bytes and how a turn ends.
 * @returns The same value as `JSON.parse` returns, or undefined when the bytes are not JSON.
 */
export async function parseJsonInTurns (options: ParseInTurnsOptions): Promise<JsonValue | undefined> {
  const { bytes, sliceBytes = SLICE_BYTES, endTurn } = options
  if (bytes.length <= sliceBytes || bytes[0] !== OPENING_BRACE) return tryToParse(bytes.toString())
  const scanner = ArrayScanner.create(bytes, sliceBytes)
  while (scanner.parseNextSlice()) await endTurn()
  return scanner.getValue()
}

/** Finds the arrays among the fields of a JSON object and parses them slice by slice. */
class ArrayScanner {
  private position = 0
  private depth = 0
  private isValid = true
  /** The elements of each array, which the rest of the text names by their position here. */
  private readonly arrays: JsonValue[][] = []
  /** The elements of the array at the position, null outside of an array. */
  private elements: JsonValue[] | null = null
  /** The text without the elements of the arrays. */
  private rest = ''
  private restStart = 0

  private constructor (private readonly bytes: Buffer, private readonly sliceBytes: number) {}

  static create (bytes: Buffer, sliceBytes: number): ArrayScanner {
    return new ArrayScanner(bytes, sliceBytes)
  }

  /** Parses the next slice and returns whether anything is left. */
  parseNextSlice (): boolean {
    const { bytes } = this
    const turnStart = this.position
    let sliceStart = this.position
    while (this.position < bytes.length) {
      const position = this.position++
      const byte = bytes[position]
      if (byte === QUOTE) {
        this.skipString()
      } else if (byte === OPENING_BRACE || byte === OPENING_BRACKET) {
        this.depth++
        if (byte === OPENING_BRACE || this.depth !== 2) continue
        this.startArray(position + 1)
        sliceStart = position + 1
      } else if (byte === CLOSING_BRACE || byte === CLOSING_BRACKET) {
        this.depth--
        if (this.depth !== 1 || this.elements === null) continue
        this.addElements(sliceStart, position, this.elements.length > 0)
        this.elements = null
        this.restStart = position
        if (position - turnStart >= this.sliceBytes) return this.isValid
      } else if (byte === COMMA && this.depth === 2 && this.elements !== null) {
        if (position - turnStart < this.sliceBytes) continue
        this.addElements(sliceStart, position, true)
        return this.isValid
      }
    }
    if (this.elements !== null) this.isValid = false
    return false
  }

  /** Returns the whole value, or undefined when the text is not JSON. */
  getValue (): JsonValue | undefined {
    if (!this.isValid) return undefined
    const value = tryToParse(this.rest + this.bytes.toString('utf8', this.restStart))
    if (typeof value !== 'object' || value === null) return undefined
    for (const field of Object.values(value)) {
      if (!Array.isArray(field)) continue
      const elements = this.arrays[field.pop() as number]
      for (const element of elements) field.push(element)
    }
    return value
  }

  private startArray (start: number): void {
    this.rest += `${this.bytes.toString('utf8', this.restStart, start)}${this.arrays.length}`
    this.elements = []
    this.arrays.push(this.elements)
  }

  /** Parses the elements in a range, of which only an array that is empty as a whole may have none. */
  private addElements (start: number, end: number, requiresElement: boolean): void {
    const added = tryToParse(`[${this.bytes.toString('utf8', start, end)}]`)
    this.isValid = this.isValid && Array.isArray(added) && (added.length > 0 || !requiresElement)
    if (!this.isValid) return
    for (const element of added as JsonValue[]) this.elements!.push(element)
  }

  private skipString (): void {
    const { bytes } = this
    while (this.position < bytes.length) {
      const byte = bytes[this.position++]
      if (byte === QUOTE) return
      if (byte === BACKSLASH) this.position++
    }
  }
}

function tryToParse (text: string): JsonValue | undefined {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
