import polka, { type Request } from 'polka'
import type { ServerResponse } from 'node:http'
import { SystemClock } from '../../src/shared/Clock.js'
import { HttpTableService } from '../../src/table/HttpTableService.js'
import { readBody, sendJson } from '../shared/http.js'
import { StandInWorkerPool } from './StandInWorkerPool.js'

/** Runs many workers in one process; `STAND_IN_WORKERS` is a JSON array of worker descriptions. */
const pool = StandInWorkerPool.create({
  workers: JSON.parse(process.env.STAND_IN_WORKERS ?? '[]'),
  clock: SystemClock.create(),
  seed: Number(process.env.STAND_IN_SEED ?? 1),
  objectStore: HttpTableService.create({ url: process.env.STAND_IN_TABLE_SERVICE_URL ?? 'http://127.0.0.1:7000' })
})

const application = polka()
application.post('/workers/:workerId/exchange', async (request: Request, response: ServerResponse) => {
  const worker = pool.getWorker(decodeURIComponent(request.params.workerId))
  const body = await readBody(request)
  if (worker === undefined) return sendJson(response, 404, { reason: 'no such worker' })
  const answer = await worker.exchange(JSON.parse(body.toString()))
  if (answer === null) response.destroy()
  else sendJson(response, 200, answer)
})
application.get('/runs', (_request: Request, response: ServerResponse) => {
  sendJson(response, 200, pool.runLog.getReport())
})
application.post('/faults', async (request: Request, response: ServerResponse) => {
  const { workerId, fault } = JSON.parse((await readBody(request)).toString())
  sendJson(response, pool.setFault(workerId, fault) ? 200 : 404, { workerId, fault })
})
application.listen(Number(process.env.STAND_IN_PORT ?? 7200), '127.0.0.1')
process.once('SIGTERM', () => process.exit(0))
process.once('SIGINT', () => process.exit(0))
