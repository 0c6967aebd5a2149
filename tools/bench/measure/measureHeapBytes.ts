import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/**
 * Measures by how much a data structure increases the memory of the process, after a forced garbage collection.
 * @param build Builds the data structure.
 * @returns The data structure, and the increase of heap and array buffers together in bytes.
 */
export function measureHeapBytes<Structure> (build: () => Structure): { structure: Structure, bytes: number } {
  const before = readBytes()
  const structure = build()
  return { structure, bytes: readBytes() - before }
}

/** Returns the used heap plus the array buffers, since typed arrays are stored outside the heap. */
function readBytes (): number {
  collectGarbage()
  collectGarbage()
  const usage = process.memoryUsage()
  return usage.heapUsed + usage.arrayBuffers
}
