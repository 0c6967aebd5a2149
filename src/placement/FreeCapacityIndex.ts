import { DIMENSIONS, MAXIMUM_UNITS } from './resourceVector.js'

/** The value of a leaf that takes nothing, not even a task of size zero. */
const CLOSED = -1

/**
 * Finds workers with room in logarithmic time.
 *
 * A binary tree over the positions of the workers holds in each node the largest room of its leaves per
 * dimension, so that a search passes over whole subtrees without room.
 */
export class FreeCapacityIndex {
  private readonly leafCount: number
  private readonly freeCapacity: Int32Array

  private constructor (readonly positionCount: number) {
    let leafCount = 1
    while (leafCount < positionCount) leafCount *= 2
    this.leafCount = leafCount
    this.freeCapacity = new Int32Array(2 * leafCount * DIMENSIONS).fill(CLOSED)
  }

  /**
   * Creates an index in which every position is closed.
   * @param positionCount The number of positions.
   * @returns The index.
   */
  static create (positionCount: number): FreeCapacityIndex {
    return new FreeCapacityIndex(positionCount)
  }

  /**
   * Sets the room of a position; a negative dimension takes nothing.
   * @param position The position.
   * @param millicores The room in millicores.
   * @param memoryMegabytes The room in megabytes.
   * @param accelerators The room in accelerators.
   */
  setFreeCapacity (position: number, millicores: number, memoryMegabytes: number, accelerators: number): void {
    const room = this.freeCapacity
    const leaf = (position + this.leafCount) * DIMENSIONS
    room[leaf] = clampCapacity(millicores)
    room[leaf + 1] = clampCapacity(memoryMegabytes)
    room[leaf + 2] = clampCapacity(accelerators)
    for (let node = (position + this.leafCount) >> 1; node >= 1; node >>= 1) {
      const parent = node * DIMENSIONS
      const left = parent * 2
      const right = left + DIMENSIONS
      let changed = false
      for (let dimension = 0; dimension < DIMENSIONS; dimension++) {
        const largest = Math.max(room[left + dimension], room[right + dimension])
        if (room[parent + dimension] !== largest) {
          room[parent + dimension] = largest
          changed = true
        }
      }
      if (!changed) return
    }
  }

  /**
   * Closes a position, so that no search returns it.
   * @param position The position.
   */
  close (position: number): void {
    this.setFreeCapacity(position, CLOSED, CLOSED, CLOSED)
  }

  /**
   * Finds the first position with room.
   * @param from The first position to consider.
   * @param to The position after the last one to consider.
   * @param demand The room that is needed.
   * @returns The position, or -1 when none has room.
   */
  findNext (from: number, to: number, demand: ArrayLike<number>): number {
    if (from >= to) return -1
    const { freeCapacity, leafCount } = this
    const [millicores, memoryMegabytes, accelerators] = [demand[0], demand[1], demand[2]]
    let node = from + leafCount
    let height = 0
    while (true) {
      const offset = node * DIMENSIONS
      if (freeCapacity[offset] >= millicores && freeCapacity[offset + 1] >= memoryMegabytes && freeCapacity[offset + 2] >= accelerators) {
        if (node >= leafCount) return node - leafCount < to ? node - leafCount : -1
        node *= 2
        height--
        continue
      }
      while ((node & 1) === 1) {
        node >>= 1
        height++
      }
      if (node === 0) return -1
      node++
      if ((node << height) - leafCount >= to) return -1
    }
  }
}

function clampCapacity (value: number): number {
  return Math.max(CLOSED, Math.min(MAXIMUM_UNITS, value))
}
