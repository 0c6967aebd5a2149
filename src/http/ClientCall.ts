import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ClientBody } from './ClientBody.js'

/** How the body of a request was received. */
export type BodyOutcome =
  | { kind: 'received', body: ClientBody }
  /** The body is longer than allowed; the caller of `readBody` responds. */
  | { kind: 'too-long' }
  /** The request has been answered, or its connection has ended. */
  | { kind: 'ended' }

/** One request of a client, and what it holds. */
export interface ClientCall {
  request: IncomingMessage
  response: ServerResponse
  /** Whether work for the request may have been started, so that it must not be refused as not run. */
  isPassedOn: boolean
  /** The bytes of the budget that it holds beside its body until its response is complete. */
  heldBytes: number
  /** Whether the client waits for permission to send the body. */
  awaitsContinue: boolean
  /** Ends the reception of the body; null while none is received. */
  endBody: (() => void) | null
}
