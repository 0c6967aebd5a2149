import { connect, createServer, type Server, type Socket } from 'node:net'

/** How a proxy treats the bytes that it relays: `silent` drops both directions, `silent-answers` only responses. */
export type ProxyMode = 'pass' | 'delay' | 'silent' | 'silent-answers'

const DELAY_MILLISECONDS = 250

/** Forwards TCP connections on loopback and injects network faults from outside the processes. */
export class LoopbackProxy {
  mode: ProxyMode = 'pass'
  private readonly sockets = new Set<Socket>()

  private constructor (private readonly server: Server) {}

  /**
   * Starts a proxy.
   * @param options The address that it listens on and the port that it forwards to.
   * @returns The listening proxy.
   */
  static async create (options: { host: string, port: number, targetPort: number }): Promise<LoopbackProxy> {
    const server = createServer()
    const proxy = new LoopbackProxy(server)
    server.on('connection', socket => proxy.forward(socket, connect(options.targetPort, options.host)))
    await new Promise<void>(resolve => { server.listen(options.port, options.host, resolve) })
    return proxy
  }

  /** Resets all open connections. */
  reset (): void {
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private forward (callerSocket: Socket, targetSocket: Socket): void {
    for (const socket of [callerSocket, targetSocket]) {
      this.sockets.add(socket)
      socket.on('error', () => socket.destroy())
    }
    callerSocket.on('data', bytes => this.relay(bytes, targetSocket, this.mode === 'silent'))
    targetSocket.on('data', bytes => this.relay(bytes, callerSocket, this.mode !== 'pass' && this.mode !== 'delay'))
    callerSocket.on('close', () => this.closePair(callerSocket, targetSocket))
    targetSocket.on('close', () => this.closePair(targetSocket, callerSocket))
  }

  private relay (bytes: Buffer, to: Socket, isDropped: boolean): void {
    if (isDropped || to.destroyed) return
    if (this.mode === 'delay') setTimeout(() => { if (!to.destroyed) to.write(bytes) }, DELAY_MILLISECONDS)
    else to.write(bytes)
  }

  private closePair (closed: Socket, other: Socket): void {
    this.sockets.delete(closed)
    other.destroy()
  }
}
