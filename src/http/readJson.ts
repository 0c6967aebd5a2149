import type { IncomingMessage, ServerResponse } from 'node:http'
import type { JsonValue } from '../shared/JsonValue.js'
import type { ClientServer } from './ClientServer.js'
import { measureJson, type JsonLimits } from './measureJson.js'

/** The request whose body was not read has been answered, or its connection has ended. */
export class BodyNotReadError extends Error {}

/**
 * Reads and decodes a body within limits, and answers the request where that is not possible.
 * @param server The server of the request.
 * @param request The request.
 * @param response Its response.
 * @param limits The limits.
 * @returns The value.
 * @throws {BodyNotReadError} If the body is not read; the request has been answered then.
 * @throws {SyntaxError} If the body is not JSON.
 */
export async function readJson (
  server: ClientServer, request: IncomingMessage, response: ServerResponse, limits: JsonLimits & { bytes: number }
): Promise<JsonValue> {
  const refuse = (status: number, headers: Record<string, string> = {}): never => {
    server.respond(request, response, { status, headers })
    throw new BodyNotReadError(`refused with ${status}`)
  }
  const outcome = await server.readBody(request, limits.bytes)
  if (outcome.kind === 'too-long') return refuse(413)
  if (outcome.kind === 'ended') throw new BodyNotReadError('the request has ended')
  return outcome.body.decode(bytes => {
    if (measureJson(bytes, limits) === null) return refuse(413)
    // Peers repeat the names of few fields, so that the value takes less than the estimate for unknown names.
    if (!server.passOn(request, bytes.length)) return refuse(503, { 'retry-after': '1' })
    return JSON.parse(bytes.toString()) as JsonValue
  })
}
