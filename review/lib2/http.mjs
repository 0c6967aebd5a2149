// Small helpers for stand-in servers and clients on loopback addresses.
import http from 'node:http'

export const HOST = '127.0.0.1'

export async function readBody (request) {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  return Buffer.concat(chunks)
}

export function sendJson (response, status, body) {
  if (response.destroyed) return
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}

/** Starts a server on a free port; returns it with its port. */
export async function listen (handle, port = 0) {
  const server = http.createServer((request, response) => {
    Promise.resolve(handle(request, response)).catch(error => {
      if (!response.headersSent) sendJson(response, 500, { error: error.message })
    })
  })
  server.keepAliveTimeout = 60_000
  await new Promise((resolve, reject) => { server.once('error', reject).listen(port, HOST, resolve) })
  return { server, port: server.address().port }
}

/** Makes one call; returns the status and the text, or a status of 0 when there was no whole answer in time. */
export function call ({ port, method = 'GET', path, headers = {}, body, timeoutMs = 3000, agent }) {
  return new Promise(resolve => {
    let timer = null
    const end = result => {
      clearTimeout(timer)
      resolve(result)
    }
    const request = http.request({ host: HOST, port, method, path, headers, agent }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('end', () => end({ status: response.statusCode, headers: response.headers, text: Buffer.concat(chunks).toString() }))
      response.on('error', error => end({ status: 0, reason: error.message }))
    })
    timer = setTimeout(() => {
      request.destroy()
      end({ status: 0, reason: 'no answer in time' })
    }, timeoutMs)
    request.on('error', error => end({ status: 0, reason: error.message }))
    request.end(body)
  })
}

export function pause (milliseconds) {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}
