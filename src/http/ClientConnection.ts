import type { Socket } from 'node:net'
import type { CancelTimer } from '../shared/Clock.js'
import type { BudgetHolder } from './ByteBudget.js'
import type { ClientCall } from './ClientCall.js'

/**
 * What a connection does: `receiving` before its first request and while it sends a body, `closing` while the
 * client may read a refusal, `idle` between requests, `serving` while a response is due or unread.
 */
export type ConnectionPhase = 'receiving' | 'closing' | 'idle' | 'serving'

/** One connection of a client. */
export class ClientConnection implements BudgetHolder {
  readonly calls = new Set<ClientCall>()
  /** Whether the connection closes without taking further requests. */
  isClosing = false
  /** Stops the timer at whose end the connection is closed; null without one. */
  cancelClosing: CancelTimer | null = null
  /** Whether a request has got its response. */
  hasBeenServed = false
  /** The bytes held for responses that the client has not read. */
  unreadBytes = 0
  private sentBytes = 0
  private sentAt: number

  private constructor (
    readonly socket: Socket, openedAt: number, private readonly refuse: (connection: ClientConnection) => void
  ) {
    this.sentAt = openedAt
  }

  /**
   * Creates the record of an open connection.
   * @param socket The socket.
   * @param openedAt The monotonic time.
   * @param refuse Answers or closes the connection when it has to give its bytes back.
   * @returns The connection.
   */
  static create (
    socket: Socket, openedAt: number, refuse: (connection: ClientConnection) => void
  ): ClientConnection {
    return new ClientConnection(socket, openedAt, refuse)
  }

  /** Returns what the connection does. */
  getPhase (): ConnectionPhase {
    if (this.isClosing) return 'closing'
    if (this.isReceivingOnly()) return 'receiving'
    if (this.calls.size > 0 || this.socket.writableLength > 0) return 'serving'
    return this.hasBeenServed ? 'idle' : 'receiving'
  }

  /** Returns whether the connection may be refused: nothing is in progress for it, or its client does not read. */
  isEvictable (): boolean {
    return this.isReceivingOnly() || this.socket.writableLength > 0
  }

  evict (): void {
    this.refuse(this)
  }

  /**
   * Records how many bytes have left the process.
   * @param now The monotonic time.
   * @returns The milliseconds for which a response has waited without progress; 0 if none waits.
   */
  getStalledMilliseconds (now: number): number {
    const sentBytes = this.socket.bytesWritten - this.socket.writableLength
    if (this.socket.writableLength === 0 || sentBytes !== this.sentBytes) {
      this.sentBytes = sentBytes
      this.sentAt = now
    }
    return now - this.sentAt
  }

  /** Returns whether all of its requests are still receiving their bodies. */
  private isReceivingOnly (): boolean {
    if (this.calls.size === 0) return false
    for (const call of this.calls) if (call.endBody === null) return false
    return true
  }
}
