// Small helpers for HTTP on loopback addresses.
import { Agent, request as sendRequest } from 'node:http'
import { createServer } from 'node:net'

export const pause = milliseconds => new Promise(resolve => { setTimeout(resolve, milliseconds) })

export async function readJson (stream) {
  const chunks = []
  for await (const chunk of stream) chunks.push(chunk)
  return JSON.parse(Buffer.concat(chunks).toString() || '{}')
}

export function sendJson (response, status, body) {
  if (response.destroyed) return
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

const agent = new Agent({ keepAlive: true, maxSockets: 64 })

/** Calls an address; resolves to the status and the body, or to null without an answer within the time limit. */
export function call (port, method, path, { host, body, timeoutMs = 3000 } = {}) {
  return new Promise(resolve => {
    const text = body === undefined ? undefined : JSON.stringify(body)
    const headers = { host: host ?? '127.0.0.1', 'deadline-ms': String(timeoutMs) }
    if (text !== undefined) Object.assign(headers, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    const request = sendRequest({ agent, host: '127.0.0.1', port, method, path, headers }, async response => {
      try {
        resolve({ status: response.statusCode, body: await readJson(response) })
      } catch {
        resolve(null)
      }
    })
    request.setTimeout(timeoutMs, () => request.destroy())
    request.on('error', () => resolve(null))
    request.end(text)
  })
}

/** The ports that are tried; systems take those of outgoing connections from above. */
const FIRST_PORT = 11_000
const LAST_PORT = 31_000

/** Returns free ports, all different, that no outgoing connection takes before they are used. */
export async function findPorts (count) {
  const servers = []
  while (servers.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT))
    const server = createServer()
    const isFree = await new Promise(resolve => {
      server.once('error', () => resolve(false)).listen(port, '127.0.0.1', () => resolve(true))
    })
    if (isFree) servers.push(server)
  }
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => new Promise(resolve => { server.close(resolve) })))
  return ports
}
