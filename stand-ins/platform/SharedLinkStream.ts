import type { Socket } from 'node:net'
import type { LinkDirection } from './LinkDirection.js'

/** Options of a stream over a shared link. */
export interface SharedLinkStreamOptions {
  from: Socket
  to: Socket
  direction: LinkDirection
  /** The number of bytes that may be in the link. */
  windowBytes: number
}

interface Segment {
  /** Null marks the end of the stream. */
  bytes: Buffer | null
  arrivesAt: number
}

const SEGMENT_BYTES = 4096

/** Carries one direction of one connection over a shared link, and reads only what its window has room for. */
export class SharedLinkStream {
  /** The bytes that were read and have not entered the link. */
  private unsent: Buffer = Buffer.alloc(0)
  private windowUsed = 0
  private hasEnded = false
  private readonly inLink: Segment[] = []
  private timer: NodeJS.Timeout | null = null

  private constructor (private readonly options: SharedLinkStreamOptions) {}

  /**
   * Starts to carry the bytes of a socket until it or its receiver is closed.
   * @param options The sockets, the direction of the link and the window.
   */
  static start (options: SharedLinkStreamOptions): void {
    const stream = new SharedLinkStream(options)
    const { from, to } = options
    from.on('data', bytes => {
      stream.unsent = stream.unsent.length === 0 ? bytes : Buffer.concat([stream.unsent, bytes])
      stream.sendSegments()
    })
    from.on('end', () => {
      stream.hasEnded = true
      stream.sendSegments()
    })
    to.on('close', () => stream.stop())
  }

  private sendSegments (): void {
    const { from, to, windowBytes } = this.options
    if (to.destroyed) return
    while (this.unsent.length > 0 && this.windowUsed < windowBytes) {
      const length = Math.min(SEGMENT_BYTES, this.unsent.length, windowBytes - this.windowUsed)
      this.windowUsed += length
      this.enqueue(this.unsent.subarray(0, length))
      this.unsent = this.unsent.subarray(length)
    }
    if (this.unsent.length > 0) {
      from.pause()
    } else if (this.hasEnded) {
      this.hasEnded = false
      this.enqueue(null)
    } else {
      from.resume()
    }
  }

  private enqueue (bytes: Buffer | null): void {
    this.inLink.push({ bytes, arrivesAt: this.options.direction.send(bytes?.length ?? 0) })
    this.startTimer()
  }

  private startTimer (): void {
    if (this.timer !== null || this.inLink.length === 0) return
    const milliseconds = this.inLink[0].arrivesAt - performance.now()
    this.timer = setTimeout(() => {
      this.timer = null
      this.deliverArrived()
      this.startTimer()
    }, Math.max(1, Math.ceil(milliseconds)))
  }

  private deliverArrived (): void {
    const now = performance.now()
    while (this.inLink.length > 0 && this.inLink[0].arrivesAt <= now) {
      const { bytes } = this.inLink.shift()!
      if (bytes === null) this.options.to.end()
      else this.options.to.write(bytes, error => { if (error == null) this.acknowledge(bytes.length) })
    }
  }

  /** Makes room in the window for bytes that the receiver has taken, once the acknowledgement has travelled back. */
  private acknowledge (length: number): void {
    setTimeout(() => {
      this.windowUsed -= length
      this.sendSegments()
    }, this.options.direction.delayMilliseconds)
  }

  private stop (): void {
    if (this.timer !== null) clearTimeout(this.timer)
    this.timer = null
    this.inLink.length = 0
  }
}
