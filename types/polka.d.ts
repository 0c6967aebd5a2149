/** The part of polka's API that this project uses; the published types are incompatible with those of `node:http`. */
declare module 'polka' {
  import type { IncomingMessage, Server, ServerResponse } from 'node:http'

  export interface Request extends IncomingMessage {
    params: Record<string, string>
    path: string
    query: Record<string, string>
    originalUrl: string
  }

  export type Handler = (request: Request, response: ServerResponse, next: (error?: unknown) => void) => unknown

  export interface PolkaOptions {
    server?: Server
    onError?: (error: unknown, request: Request, response: ServerResponse, next: () => void) => void
    onNoMatch?: (request: Request, response: ServerResponse) => void
  }

  export interface Polka {
    server: Server
    handler: (request: IncomingMessage, response: ServerResponse) => void
    use (...handlers: Handler[]): this
    use (prefix: string, ...handlers: Handler[]): this
    all (pattern: string, ...handlers: Handler[]): this
    get (pattern: string, ...handlers: Handler[]): this
    put (pattern: string, ...handlers: Handler[]): this
    post (pattern: string, ...handlers: Handler[]): this
    delete (pattern: string, ...handlers: Handler[]): this
    listen (port: number, host: string, callback?: () => void): this
  }

  export default function polka (options?: PolkaOptions): Polka
}
