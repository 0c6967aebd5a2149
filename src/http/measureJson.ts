/** Limits of a JSON text. */
export interface JsonLimits {
  /** The maximum number of objects and lists. */
  containers: number
  /** The maximum number of fields of all objects. */
  fields: number
  depth: number
}

/** How much memory the decoded value of a text takes. */
export interface JsonSize {
  bytes: number
}

const QUOTE = 0x22
const BACKSLASH = 0x5c
const COMMA = 0x2c
const COLON = 0x3a
/** Turns a square bracket into the curly one; other bytes that become one are not valid outside strings. */
const CURLY_BIT = 0x20
const OPENING = 0x7b
const CLOSING = 0x7d
/** A step without fields becomes an object of 18 fields, and about 400 characters of a stored row. */
const CONTAINER_BYTES = 512
/** The names of fields, and tables of them that grow. */
const FIELD_BYTES = 128
const ELEMENT_BYTES = 16

/**
 * Measures a JSON text before it is parsed, without allocating anything for its values. The text need not be valid.
 * @param text The bytes of the text.
 * @param limits The limits.
 * @returns The estimated size of the decoded value, or null if the text exceeds a limit.
 */
export function measureJson (text: Buffer, limits: JsonLimits): JsonSize | null {
  let containers = 0
  let fields = 0
  let elements = 0
  let depth = 0
  for (let position = 0; position < text.length; position++) {
    const byte = text[position]
    if (byte === QUOTE) position = findEndOfString(text, position)
    else if (byte === COMMA) elements++
    else if (byte === COLON) fields++
    else if ((byte | CURLY_BIT) === CLOSING) depth--
    else if ((byte | CURLY_BIT) === OPENING) {
      containers++
      depth++
    }
    if (containers > limits.containers || fields > limits.fields || depth > limits.depth) return null
  }
  return { bytes: text.length + containers * CONTAINER_BYTES + fields * FIELD_BYTES + elements * ELEMENT_BYTES }
}

/** Returns the position of the quote that ends a string, or the end of the text. */
function findEndOfString (text: Buffer, start: number): number {
  let position = start + 1
  while (position < text.length && text[position] !== QUOTE) position += text[position] === BACKSLASH ? 2 : 1
  return position
}
