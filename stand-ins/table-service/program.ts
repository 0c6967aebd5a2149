import polka, { type Request } from 'polka'
import type { ServerResponse } from 'node:http'
import { MemoryTableService } from './MemoryTableService.js'
import { createRandom } from '../shared/createRandom.js'
import { readBody, sendJson } from '../shared/http.js'

/** Runs the table service stand-in; the environment sets the port and the seed. */
const seed = Number(process.env.STAND_IN_SEED ?? 1)
const port = Number(process.env.STAND_IN_PORT ?? 7000)
const service = MemoryTableService.create({ random: createRandom(seed) })

const application = polka()
application.post('/transactions', handle(async (body, response) => {
  if (service.faults.down) return sendJson(response, 503, { reason: 'down' })
  const outcome = await service.transact(body)
  if (outcome.kind === 'unknown') return response.destroy()
  const statusCodes = { committed: 200, conflict: 409, unavailable: 429 }
  sendJson(response, statusCodes[outcome.kind], outcome)
}))
application.post('/reads', handle(async (body, response) => sendRead(response, await service.readMany(body.rows))))
application.post('/scans', handle(async (body, response) => sendRead(response, await service.scan(body.table, body))))
application.put('/objects/:key', async (request: Request, response: ServerResponse) => {
  const stored = await service.putObject(decodeURIComponent(request.params.key), await readBody(request))
  response.writeHead(stored.kind === 'ok' ? 204 : 503).end()
})
application.get('/objects/:key', async (request: Request, response: ServerResponse) => {
  const found = await service.getObject(decodeURIComponent(request.params.key))
  if (found.kind !== 'ok') return response.writeHead(503).end()
  if (found.value === null) return response.writeHead(404).end()
  response.writeHead(200).end(found.value)
})
application.delete('/objects/:key', async (request: Request, response: ServerResponse) => {
  const deleted = await service.deleteObject(decodeURIComponent(request.params.key))
  response.writeHead(deleted.kind === 'ok' ? 204 : 503).end()
})
application.post('/faults', handle(async (body, response) => {
  Object.assign(service.faults, body)
  sendJson(response, 200, service.faults)
}))
application.get('/counters', (_request: Request, response: ServerResponse) => sendJson(response, 200, service.counters))
application.listen(port, '127.0.0.1')
process.once('SIGTERM', () => process.exit(0))
process.once('SIGINT', () => process.exit(0))

function sendRead (response: ServerResponse, read: { kind: 'ok', value: unknown } | { kind: 'unavailable' }): void {
  if (read.kind === 'ok') sendJson(response, 200, read.value)
  else sendJson(response, 503, read)
}

function handle (respond: (body: any, response: ServerResponse) => Promise<unknown>) {
  return async (request: Request, response: ServerResponse) => {
    await respond(JSON.parse((await readBody(request)).toString()), response)
  }
}
