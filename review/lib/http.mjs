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

/** Returns free ports, all different. */
export async function findPorts (count) {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', reject).listen(0, '127.0.0.1', () => resolve(server))
  })))
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => new Promise(resolve => { server.close(resolve) })))
  return ports
}
