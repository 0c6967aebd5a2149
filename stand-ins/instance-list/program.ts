import polka, { type Request } from 'polka'
import type { ServerResponse } from 'node:http'
import { SystemClock } from '../../src/shared/Clock.js'
import { readBody, sendJson } from '../shared/http.js'
import { LaggingInstanceList } from './LaggingInstanceList.js'

/** Runs the instance list; `STAND_IN_INSTANCES` is a JSON array of the instances that are visible from the start. */
const list = LaggingInstanceList.create({
  clock: SystemClock.create(),
  lagMilliseconds: Number(process.env.STAND_IN_LAG_MILLISECONDS ?? 0),
  instances: JSON.parse(process.env.STAND_IN_INSTANCES ?? '[]')
})

const application = polka()
application.get('/instances', (_request: Request, response: ServerResponse) => {
  sendJson(response, 200, list.getInstances())
})
application.put('/instances/:instanceId', async (request: Request, response: ServerResponse) => {
  const instanceId = decodeURIComponent(request.params.instanceId)
  list.put({ ...JSON.parse((await readBody(request)).toString()), instanceId })
  response.writeHead(204).end()
})
application.delete('/instances/:instanceId', (request: Request, response: ServerResponse) => {
  list.delete(decodeURIComponent(request.params.instanceId))
  response.writeHead(204).end()
})
application.listen(Number(process.env.STAND_IN_PORT ?? 7100), '127.0.0.1')
process.once('SIGTERM', () => process.exit(0))
process.once('SIGINT', () => process.exit(0))
