import polka, { type Request } from 'polka'
import type { ServerResponse } from 'node:http'
import { SystemClock } from '../../src/shared/Clock.js'
import { createRandom } from '../shared/createRandom.js'
import { readBody, sendJson } from '../shared/http.js'
import { StandInUpstream } from './StandInUpstream.js'

/**
 * Runs several upstreams in one process, each on its own port.
 *
 * `STAND_IN_UPSTREAMS` is a JSON array of `{ upstreamId, port }`; `STAND_IN_SERVICE_MILLISECONDS` is a JSON object of
 * service times by request kind. `STAND_IN_PORT` is the port that serves the counters and faults of all upstreams.
 */
const clock = SystemClock.create()
const random = createRandom(Number(process.env.STAND_IN_SEED ?? 1))
const serviceMilliseconds = JSON.parse(process.env.STAND_IN_SERVICE_MILLISECONDS ?? '{}')
const upstreams = new Map<string, StandInUpstream>()
for (const { upstreamId, port } of JSON.parse(process.env.STAND_IN_UPSTREAMS ?? '[]')) {
  const upstream = StandInUpstream.create({ upstreamId, clock, random, serviceMilliseconds })
  await upstream.listen(port)
  upstreams.set(upstreamId, upstream)
}

const application = polka()
application.get('/counters', (_request: Request, response: ServerResponse) => {
  sendJson(response, 200, Object.fromEntries([...upstreams].map(([name, upstream]) => [name, upstream.counters])))
})
application.post('/faults', async (request: Request, response: ServerResponse) => {
  const { upstreamId, leaving, killed, ...faults } = JSON.parse((await readBody(request)).toString())
  const upstream = upstreams.get(upstreamId)
  if (upstream === undefined) return sendJson(response, 404, { reason: 'no such upstream' })
  upstream.setFaults(faults)
  if (leaving !== undefined) upstream.setLeaving(leaving)
  if (killed === true) await upstream.kill()
  sendJson(response, 200, upstream.faults)
})
application.listen(Number(process.env.STAND_IN_PORT ?? 7300), '127.0.0.1')
process.once('SIGTERM', () => process.exit(0))
process.once('SIGINT', () => process.exit(0))
