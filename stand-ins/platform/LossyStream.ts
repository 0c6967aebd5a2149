import type { PathDirection } from './LossyPath.js'

/** Options of a stream. */
export interface LossyStreamOptions {
  /** Sends a segment until it arrives. */
  transmit (direction: PathDirection, onArrival: () => void): void
}

interface Segment {
  hasArrived: boolean
  deliver: () => void
}

/** The segments of one connection: each direction delivers them in order, so that one waits for those before it. */
export class LossyStream {
  private readonly segments: Record<PathDirection, Segment[]> = { toWorker: [], fromWorker: [] }

  private constructor (private readonly options: LossyStreamOptions) {}

  /**
   * Creates a stream without segments in flight.
   * @param options How a segment is sent.
   * @returns The stream.
   */
  static create (options: LossyStreamOptions): LossyStream {
    return new LossyStream(options)
  }

  /**
   * Sends a segment, which arrives although the sender may have closed the connection.
   * @param direction The direction.
   * @param deliver Called when the segment and all segments before it have arrived.
   */
  send (direction: PathDirection, deliver: () => void): void {
    const segment: Segment = { hasArrived: false, deliver }
    this.segments[direction].push(segment)
    this.options.transmit(direction, () => {
      segment.hasArrived = true
      this.deliverInOrder(this.segments[direction])
    })
  }

  private deliverInOrder (segments: Segment[]): void {
    while (segments[0]?.hasArrived === true) segments.shift()!.deliver()
  }
}
