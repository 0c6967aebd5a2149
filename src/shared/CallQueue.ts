/** A call that occupies one connection while it runs. */
export interface QueuedCall<Connection> {
  /** Starts the call, once, on a free connection. The call passes the connection to `release` when it ends. */
  start (connection: Connection): void
  /** Ends a call that is still queued when the queue is closed. */
  close (): void
}

/** Options of a call queue. */
export interface CallQueueOptions<Connection> {
  /** The maximum number of connections. */
  connections: number
  /** The maximum number of further connections whose calls have timed out, and which are kept for late responses. */
  lateConnections: number
  createConnection (): Connection
  /** Returns whether a call can be sent on the connection without opening it first. */
  isOpen (connection: Connection): boolean
}

/** Queues calls in order until one of a limited number of connections is free. Removing a queued call opens none. */
export class CallQueue<Connection> {
  private readonly queuedCalls = new Set<QueuedCall<Connection>>()
  private readonly idleConnections: Connection[] = []
  private connectionCount = 0
  private readonly lateConnections = new Set<Connection>()

  private constructor (private readonly options: CallQueueOptions<Connection>) {}

  /**
   * Creates a queue without connections.
   * @param options The connection limit, and how connections are created and checked.
   * @returns The queue.
   */
  static create<Connection> (options: CallQueueOptions<Connection>): CallQueue<Connection> {
    return new CallQueue(options)
  }

  /**
   * Starts a call, or queues it until a connection is free.
   * @param call The call.
   */
  add (call: QueuedCall<Connection>): void {
    const connection = this.takeIdleConnection() ?? this.createConnectionWithinLimit()
    if (connection === null) this.queuedCalls.add(call)
    else call.start(connection)
  }

  /**
   * Removes a queued call.
   * @param call The call.
   * @returns Whether the call was queued; a call that has started is not affected.
   */
  remove (call: QueuedCall<Connection>): boolean {
    return this.queuedCalls.delete(call)
  }

  /**
   * Lets other calls use another connection while a late response is awaited on this one.
   * @param connection The connection, which is passed to `release` afterwards.
   * @returns Whether the connection may be kept; false when late responses are awaited on too many others.
   */
  keepForLateResponse (connection: Connection): boolean {
    if (this.lateConnections.size >= this.options.lateConnections) return false
    this.lateConnections.add(connection)
    this.connectionCount--
    this.startNext()
    return true
  }

  /** Closes all queued calls. */
  close (): void {
    const calls = [...this.queuedCalls]
    this.queuedCalls.clear()
    for (const call of calls) call.close()
  }

  /**
   * Returns the connection of an ended call to the queue and starts the next call on it.
   * @param connection The connection.
   */
  release (connection: Connection): void {
    if (this.lateConnections.delete(connection)) this.connectionCount++
    this.idleConnections.push(connection)
    this.startNext()
  }

  private startNext (): void {
    const [next] = this.queuedCalls
    if (next === undefined) return
    const connection = this.takeIdleConnection() ?? this.createConnectionWithinLimit()
    if (connection === null) return
    this.queuedCalls.delete(next)
    next.start(connection)
  }

  /** Prefers the most recently used open connection, so that the others can close when they are not needed. */
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
