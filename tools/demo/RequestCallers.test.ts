import assert from 'node:assert/strict'
import { createServer, type ServerResponse } from 'node:http'
import { test } from 'node:test'
import { request } from 'undici'
import { SystemClock } from '../../src/shared/Clock.js'
import { findFreePorts } from '../../stand-ins/shared/findFreePorts.js'
import { StandInUpstream } from '../../stand-ins/upstreams/StandInUpstream.js'
import { RequestCallers, type RequestTally } from './RequestCallers.js'

interface ForwardedResponse {
  outcome: string
  text: string
}

type AlterResponse = (forwarded: ForwardedResponse, serverResponse: ServerResponse) => ForwardedResponse | null

/** Sends requests through an entry instance that alters responses, and returns the tally of the callers. */
async function tallyThroughFaultyEntry (alterResponse: AlterResponse, key?: string): Promise<RequestTally> {
  const upstream = StandInUpstream.create({ upstreamId: 'u', clock: SystemClock.create(), random: () => 0.5 })
  const [upstreamPort, port] = await findFreePorts(2)
  await upstream.listen(upstreamPort)
  const server = createServer(async (incoming, response) => {
    if (incoming.url === '/readyz') return response.end()
    const path = incoming.url!.replace('/services/desk', '')
    const headers = key === undefined ? {} : { 'idempotency-key': key }
    const upstreamResponse = await request(`http://127.0.0.1:${upstreamPort}${path}`, { headers, method: 'GET' })
    const altered = alterResponse({ outcome: 'answered', text: await upstreamResponse.body.text() }, response)
    if (altered !== null) response.writeHead(200, { 'papayamoor-outcome': altered.outcome }).end(altered.text)
  })
  await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve))
  const callers = RequestCallers.create({ service: 'desk', entryUrls: [`http://127.0.0.1:${port}`], name: 'test' })
  const count = key === undefined ? 1 : 2
  for (let sent = 0; sent < count; sent++) {
    callers.startRequest({ method: 'GET', kind: 'k', deadlineMilliseconds: 1000, idempotencyKey: key })
  }
  await callers.close()
  callers.compareWithUpstreams({ u: upstream.counters })
  server.closeAllConnections()
  server.close()
  await upstream.kill()
  return callers.tally
}

const cases: Array<{ name: string, alterResponse: AlterResponse, key?: string, expected: Partial<RequestTally> }> = [
  { name: 'a correct response', alterResponse: forwarded => forwarded, expected: { answered: 1 } },
  {
    name: 'an incomplete response',
    alterResponse: ({ text }) => ({ outcome: 'answered', text: text.slice(1) }),
    expected: { answered: 1, wrongAnswers: 1 }
  },
  {
    name: 'the response to another request',
    alterResponse: ({ text }) => ({ outcome: 'answered', text: text.replace('test-1', 'test-2') }),
    expected: { answered: 1, wrongAnswers: 1 }
  },
  {
    name: 'a request reported as not run that ran',
    alterResponse: () => ({ outcome: 'not-run', text: '' }),
    expected: { notRun: 1, notRunButRan: 1 }
  },
  { name: 'an unknown outcome', alterResponse: () => ({ outcome: 'unknown', text: '' }), expected: { unknown: 1 } },
  {
    name: 'a connection that breaks',
    alterResponse: (_forwarded, serverResponse) => { serverResponse.destroy(); return null },
    expected: { cutRequests: 1 }
  },
  {
    name: 'a submission that ran twice',
    alterResponse: forwarded => forwarded,
    key: 'key-1',
    expected: { requests: 2, answered: 2, repeatedSubmissions: 1 }
  },
  {
    name: 'duplicates of a submission reported as not run that ran',
    alterResponse: () => ({ outcome: 'not-run', text: '' }),
    key: 'key-1',
    expected: { requests: 2, notRun: 2, notRunButRan: 2, repeatedSubmissions: 1 }
  }
]

const baseTally: RequestTally = {
  requests: 1,
  answered: 0,
  notRun: 0,
  unknown: 0,
  wrongAnswers: 0,
  cutRequests: 0,
  notConnected: 0,
  notRunButRan: 0,
  repeatedSubmissions: 0
}

for (const { name, alterResponse, key, expected } of cases) {
  test(`RequestCallers counts ${name}`, async () => {
    assert.deepEqual(await tallyThroughFaultyEntry(alterResponse, key), { ...baseTally, ...expected })
  })
}
