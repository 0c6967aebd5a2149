import { connect, createServer, type Server, type Socket } from 'node:net'
import { LinkDirection } from './LinkDirection.js'
import { SharedLinkStream } from './SharedLinkStream.js'

/** Options of a shared link. */
export interface SharedLinkOptions {
  host: string
  /** The rate of each direction, which all connections share. */
  bitsPerSecond: number
  /** The propagation delay of each direction. */
  delayMilliseconds: number
  /** The number of bytes of one connection that may be in the link in each direction; the default is 64 KiB. */
  windowBytes?: number
}

const DEFAULT_WINDOW_BYTES = 65_536

/**
 * Forwards TCP connections on loopback in real time over one link of limited rate. The segments of all connections
 * leave in the order in which they enter, so connections share the rate by their windows, and a short call waits for
 * the segments that are in the link.
 */
export class SharedLink {
  readonly toTargets: LinkDirection
  readonly toCallers: LinkDirection
  private readonly servers: Server[] = []
  private readonly sockets = new Set<Socket>()

  private constructor (private readonly options: SharedLinkOptions) {
    const { bitsPerSecond, delayMilliseconds } = options
    const getTime = () => performance.now()
    this.toTargets = LinkDirection.create({ bitsPerSecond, delayMilliseconds, getTime })
    this.toCallers = LinkDirection.create({ bitsPerSecond, delayMilliseconds, getTime })
  }

  /**
   * Creates a link without connections.
   * @param options The address, the rate and the delay.
   * @returns The link.
   */
  static create (options: SharedLinkOptions): SharedLink {
    return new SharedLink(options)
  }

  /**
   * Accepts connections and forwards them over the link.
   * @param port The port at which callers connect.
   * @param targetPort The port to which their connections are forwarded.
   */
  async listen (port: number, targetPort: number): Promise<void> {
    const { host } = this.options
    // The end of a direction follows the bytes before it over the link.
    const server = createServer({ allowHalfOpen: true }, socket => {
      this.forward(socket, connect({ port: targetPort, host, allowHalfOpen: true }))
    })
    this.servers.push(server)
    await new Promise<void>(resolve => { server.listen(port, host, resolve) })
  }

  /** Stops listening and closes all connections. */
  close (): void {
    for (const server of this.servers) server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private forward (callerSocket: Socket, targetSocket: Socket): void {
    const windowBytes = this.options.windowBytes ?? DEFAULT_WINDOW_BYTES
    for (const [socket, other] of [[callerSocket, targetSocket], [targetSocket, callerSocket]]) {
      this.sockets.add(socket)
      socket.setNoDelay(true)
      socket.on('error', () => socket.destroy())
      socket.on('close', hadError => {
        this.sockets.delete(socket)
        // After a regular end, the other socket ends once the bytes in the link have arrived. A peer that closed its
        // socket seems to have ended one direction only, until it refuses bytes, which is an error.
        if (hadError || !socket.readableEnded) other.destroy()
      })
    }
    SharedLinkStream.start({ from: callerSocket, to: targetSocket, direction: this.toTargets, windowBytes })
    SharedLinkStream.start({ from: targetSocket, to: callerSocket, direction: this.toCallers, windowBytes })
  }
}
