/** A call that runs on one connection. */
export interface QueuedCall<Connection> {
  /** Runs once, when a connection is free; `release` follows when the call no longer uses it. */
  start (connection: Connection): void
  /** Runs when the queue is closed while the call waits. */
  close (): void
}

/** Options of a queue. */
export interface CallQueueOptions<Connection> {
  /** The greatest number of connections. */
  connections: number
  createConnection (): Connection
  /** Returns whether a call can be sent on the connection without opening it first. */
  isOpen (connection: Connection): boolean
}

/** Lets calls wait in order until one of a few connections is free; a call that leaves the queue costs nothing. */
export class CallQueue<Connection> {
  private readonly queuedCalls = new Set<QueuedCall<Connection>>()
  private readonly idleConnections: Connection[] = []
  private connectionCount = 0

  private constructor (private readonly options: CallQueueOptions<Connection>) {}

  /**
   * Creates a queue without connections.
   * @param options How many connections there may be, and how to make one.
   * @returns The queue.
   */
  static create<Connection> (options: CallQueueOptions<Connection>): CallQueue<Connection> {
    return new CallQueue(options)
  }

  /**
   * Starts a call, or lets it wait for a connection.
   * @param call The call.
   */
  add (call: QueuedCall<Connection>): void {
    const connection = this.takeIdleConnection() ?? this.createConnectionWithinLimit()
    if (connection === null) this.queuedCalls.add(call)
    else call.start(connection)
  }

  /**
   * Takes back a call that waits.
   * @param call The call.
   * @returns Whether it waited; a call that has started is left alone.
   */
  remove (call: QueuedCall<Connection>): boolean {
    return this.queuedCalls.delete(call)
  }

  /** Closes all calls that wait. */
  close (): void {
    const calls = [...this.queuedCalls]
    this.queuedCalls.clear()
    for (const call of calls) call.close()
  }

  /**
   * Gives back the connection of a call that ended and starts the next call on it.
   * @param connection The connection.
   */
  release (connection: Connection): void {
    const [next] = this.queuedCalls
    if (next === undefined) {
      this.idleConnections.push(connection)
      return
    }
    this.queuedCalls.delete(next)
    next.start(connection)
  }

  /** Prefers the connection that was used last, so that no more are kept open than the calls need. */
  private takeIdleConnection (): Connection | null {
    for (let index = this.idleConnections.length - 1; index >= 0; index--) {
      if (this.options.isOpen(this.idleConnections[index])) return this.idleConnections.splice(index, 1)[0]
    }
    return this.idleConnections.pop() ?? null
  }

  private createConnectionWithinLimit (): Connection | null {
    if (this.connectionCount >= this.options.connections) return null
    this.connectionCount++
    return this.options.createConnection()
  }
}
