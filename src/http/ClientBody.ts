import { BLOCK_BYTES, type BodyBlocks } from './BodyBlocks.js'

/** The body of a request, in blocks, while it arrives and until it is decoded. */
export class ClientBody {
  private blocks: Buffer[] = []
  private receivedBytes = 0

  private constructor (
    private readonly memory: BodyBlocks, private readonly hold: (bytes: number) => boolean,
    private readonly release: (bytes: number) => void
  ) {}

  /**
   * Creates an empty body.
   * @param memory The blocks.
   * @param hold Takes bytes of a budget; returns whether it has them.
   * @param release Gives bytes of the budget back.
   * @returns The body.
   */
  static create (
    memory: BodyBlocks, hold: (bytes: number) => boolean, release: (bytes: number) => void
  ): ClientBody {
    return new ClientBody(memory, hold, release)
  }

  /** The number of bytes received. */
  get length (): number {
    return this.receivedBytes
  }

  /**
   * Copies bytes to the end of the body.
   * @param chunk The bytes.
   * @returns False if the budget has no room for them.
   */
  append (chunk: Buffer): boolean {
    for (let position = 0; position < chunk.length;) {
      const offset = this.receivedBytes % BLOCK_BYTES
      if (offset === 0) {
        if (!this.hold(BLOCK_BYTES)) return false
        this.blocks.push(this.memory.take())
      }
      const copied = chunk.copy(this.blocks[this.blocks.length - 1], offset, position)
      position += copied
      this.receivedBytes += copied
    }
    return true
  }

  /**
   * Decodes the body and releases its memory. The bytes may not be used after `decode` has returned.
   * @param decode The function that decodes the bytes.
   * @returns What it returns.
   */
  decode<Value> (decode: (bytes: Buffer) => Value): Value {
    const { blocks, receivedBytes } = this
    this.blocks = []
    try {
      return decode(this.memory.join(blocks, receivedBytes))
    } finally {
      this.release(blocks.length * BLOCK_BYTES)
      this.memory.give(blocks)
    }
  }

  /** Releases the memory of the body without decoding it. */
  discard (): void {
    this.decode(() => {})
  }
}
