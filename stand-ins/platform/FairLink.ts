import type { Clock } from '../../src/shared/Clock.js'

interface Transfer {
  remainingBytes: number
  resolve (): void
}

const BYTES_PER_MEGABIT = 125_000
/** Transfers take turns after this many bytes, so that they share the link. */
const CHUNK_BYTES = 16_000

/** A network link with a limited speed that its transfers share. */
export class FairLink {
  totalBytes = 0
  private readonly transfers: Transfer[] = []
  private isBusy = false

  private constructor (
    private readonly clock: Clock,
    private readonly bytesPerMillisecond: number
  ) {}

  /**
   * Creates an idle link.
   * @param options The clock and the speed.
   * @returns The link.
   */
  static create (options: { clock: Clock, megabitsPerSecond: number }): FairLink {
    return new FairLink(options.clock, options.megabitsPerSecond * BYTES_PER_MEGABIT / 1000)
  }

  /**
   * Sends bytes over the link.
   * @param bytes The number of bytes.
   * @returns A promise that resolves when they have arrived.
   */
  transfer (bytes: number): Promise<void> {
    this.totalBytes += bytes
    return new Promise(resolve => {
      this.transfers.push({ remainingBytes: bytes, resolve })
      if (!this.isBusy) this.sendChunk()
    })
  }

  private sendChunk (): void {
    const transfer = this.transfers.shift()
    this.isBusy = transfer !== undefined
    if (transfer === undefined) return
    const bytes = Math.min(CHUNK_BYTES, transfer.remainingBytes)
    this.clock.setTimer(bytes / this.bytesPerMillisecond, () => {
      transfer.remainingBytes -= bytes
      if (transfer.remainingBytes <= 0) transfer.resolve()
      else this.transfers.push(transfer)
      this.sendChunk()
    })
  }
}
