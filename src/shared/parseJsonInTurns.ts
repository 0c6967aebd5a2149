import type { JsonValue } from './JsonValue.js'

/** Options of parsing in turns. */
export interface ParseInTurnsOptions {
  bytes: Buffer
  /** The least size of a slice that is parsed in one turn; the element at its end is parsed as a whole. */
  sliceBytes?: number
  /** Resolves in a later turn of the event loop. */
  endTurn (): Promise<void>
}

/** The elements at the start of an array, parsed slice by slice. */
interface ParsedElements {
  elements: JsonValue[]
  /** The position of the first element. */
  start: number
  /** The position of the first element that is not parsed. */
  end: number
}

/** JSON of this size takes about half a millisecond on a whole processor. */
const SLICE_BYTES = 262_144
/** The arrays of objects, from the start of the text, that are examined for a large one. */
const EXAMINED_ARRAYS = 8
/** Stands for the parsed elements in the rest of the text. */
const MARKER = 'parsed-elements-9c1f3a57'
const ARRAY_OF_OBJECTS = '[{'
const BETWEEN_OBJECTS = '},{'

/**
 * Parses JSON whose size is due to an array of objects without white space, slice by slice, with a turn of the event
 * loop for each slice. Any other text is parsed in one turn.
 *
 * Answers a large configuration on an instance with a fraction of a processor: no caller is answered and no lease is
 * renewed while it is parsed.
 * @param options The bytes and how a turn ends.
 * @returns The same value as `JSON.parse` returns, or undefined when the bytes are not JSON.
 */
export async function parseJsonInTurns (options: ParseInTurnsOptions): Promise<JsonValue | undefined> {
  const { bytes } = options
  const parsed = await parseElements(options)
  return (parsed === null ? undefined : parseRest(bytes, parsed)) ?? tryToParse(bytes.toString())
}

/** Parses the first elements of the first array that is larger than a slice; returns null when none is found. */
async function parseElements (options: ParseInTurnsOptions): Promise<ParsedElements | null> {
  const { bytes, sliceBytes = SLICE_BYTES } = options
  if (bytes.length <= sliceBytes || bytes.includes(MARKER)) return null
  let opening = -1
  for (let count = 0; count < EXAMINED_ARRAYS; count++) {
    opening = bytes.indexOf(ARRAY_OF_OBJECTS, opening + 1)
    if (opening < 0) return null
    const parsed = await parseElementsFrom(opening + 1, options)
    if (parsed.elements.length > 0) return parsed
  }
  return null
}

/**
 * Parses elements as long as whole slices of them follow. A slice may end within a text or a nested array, or beyond
 * the array; then it is not JSON, since it is not balanced.
 */
async function parseElementsFrom (
  start: number, { bytes, sliceBytes = SLICE_BYTES, endTurn }: ParseInTurnsOptions
): Promise<ParsedElements> {
  const elements: JsonValue[] = []
  let end = start
  for (;;) {
    const sliceEnd = bytes.indexOf(BETWEEN_OBJECTS, end + sliceBytes) + 1
    const slice = sliceEnd === 0 ? undefined : tryToParse(`[${bytes.toString('utf8', end, sliceEnd)}]`)
    if (!Array.isArray(slice)) return { elements, start, end }
    for (const element of slice) elements.push(element)
    end = sliceEnd + 1
    await endTurn()
  }
}

/**
 * Parses the text without the parsed elements and inserts these. Returns undefined when the text is not JSON, or when
 * the elements do not belong to the value itself or to one of its fields, as those found within a text.
 */
function parseRest (bytes: Buffer, { elements, start, end }: ParsedElements): JsonValue | undefined {
  const value = tryToParse(`${bytes.toString('utf8', 0, start)}"${MARKER}",${bytes.toString('utf8', end)}`)
  if (typeof value !== 'object' || value === null) return undefined
  const array = [value, ...Object.values(value)].find(field => Array.isArray(field) && field[0] === MARKER)
  if (!Array.isArray(array)) return undefined
  const rest = array.splice(0).slice(1)
  // A spread argument list of a large array would exceed the stack.
  for (const element of elements) array.push(element)
  for (const element of rest) array.push(element)
  return value
}

function tryToParse (text: string): JsonValue | undefined {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
