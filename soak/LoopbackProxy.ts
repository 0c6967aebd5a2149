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

  private forward (near: Socket, far: Socket): void {
    for (const socket of [near, far]) {
      this.sockets.add(socket)
      socket.on('error', () => socket.destroy())
    }
    near.on('data', bytes => this.pass(bytes, far, this.mode === 'silent'))
    far.on('data', bytes => this.pass(bytes, near, this.mode !== 'pass' && this.mode !== 'delay'))
    near.on('close', () => this.end(near, far))
    far.on('close', () => this.end(far, near))
  }

  private pass (bytes: Buffer, to: Socket, isDropped: boolean): void {
    if (isDropped || to.destroyed) return
    if (this.mode === 'delay') setTimeout(() => { if (!to.destroyed) to.write(bytes) }, DELAY_MILLISECONDS)
    else to.write(bytes)
  }

  private end (closed: Socket, other: Socket): void {
    this.sockets.delete(closed)
    other.destroy()
  }
}
