/** The length of a block; ordinary bodies fit into one. */
export const BLOCK_BYTES = 8192
/** A longer body is not copied into the shared buffer, which is kept. */
const SHARED_BYTES = 524_288

/**
 * The memory of unfinished bodies. Blocks are used again: released buffers would wait for a garbage collection, which
 * does not start before they have taken 64 MB outside the heap.
 */
export class BodyBlocks {
  private readonly free: Buffer[] = []
  private shared: Buffer | null = null

  private constructor (private readonly maximumFree: number) {}

  /**
   * Creates the memory, which has no blocks yet.
   * @param budgetBytes The bytes that bodies may hold.
   * @returns The memory.
   */
  static create (budgetBytes: number): BodyBlocks {
    return new BodyBlocks(Math.floor(budgetBytes / BLOCK_BYTES))
  }

  /**
   * Takes a block.
   * @returns The block, whose content is arbitrary.
   */
  take (): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES)
  }

  /**
   * Gives blocks back.
   * @param blocks The blocks.
   */
  give (blocks: Buffer[]): void {
    for (const block of blocks) if (this.free.length < this.maximumFree) this.free.push(block)
  }

  /**
   * Joins blocks in a buffer that the next call of this function may overwrite.
   * @param blocks The blocks.
   * @param length The number of bytes in them.
   * @returns The bytes.
   */
  join (blocks: Buffer[], length: number): Buffer {
    if (length <= BLOCK_BYTES) return blocks[0]?.subarray(0, length) ?? Buffer.alloc(0)
    if (length > SHARED_BYTES) return Buffer.concat(blocks, length)
    this.shared ??= Buffer.allocUnsafeSlow(SHARED_BYTES)
    for (const [index, block] of blocks.entries()) block.copy(this.shared, index * BLOCK_BYTES)
    return this.shared.subarray(0, length)
  }
}
