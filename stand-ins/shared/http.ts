import type { IncomingMessage, ServerResponse } from 'node:http'

/**
 * Reads the whole body of a request.
 * @param request The request.
 * @returns The bytes.
 */
export async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

/**
 * Sends a JSON response.
 * @param response The response.
 * @param statusCode The HTTP status.
 * @param body The value to send.
 */
export function sendJson (response: ServerResponse, statusCode: number, body: unknown): void {
  const text = JSON.stringify(body)
  response.writeHead(statusCode, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}
