import { connect, createServer, type Server, type Socket } from 'node:net'

/** What a proxy does with the bytes that pass. */
export type ProxyMode = 'pass' | 'delay' | 'silent' | 'silent-answers'

const DELAY_MILLISECONDS = 250

/** Forwards TCP connections on loopback and harms them from outside the programs. */
export class LoopbackProxy {
  mode: ProxyMode = 'pass'
  private readonly sockets = new Set<Socket>()

  private constructor (private readonly server: Server) {}

  /**
   * Starts a proxy.
   * @param options Where it listens and where it forwards to.
   * @returns The proxy, which listens.
   */
  static async create (options: { host: string, port: number, targetPort: number }): Promise<LoopbackProxy> {
    const server = createServer()
    const proxy = new LoopbackProxy(server)
    server.on('connection', near => proxy.forward(near, connect(options.targetPort, options.host)))
    await new Promise<void>(resolve => { server.listen(options.port, options.host, resolve) })
    return proxy
  }

  /** Resets all open connections. */
  reset (): void {
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  /** Ends the proxy and its connections. */
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
