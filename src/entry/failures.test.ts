import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EntryDeployment, type EntryDeploymentOptions } from '../../tools/bench/deployments/EntryDeployment.js'
import { RequestLoad, type LoadRequest, type LoadResult } from '../../tools/bench/deployments/RequestLoad.js'
import type { StandInUpstream } from '../../stand-ins/upstreams/StandInUpstream.js'
import { getTestSeed } from '../shared/testSeed.js'

const site = { dataCentre: 'south-a', region: 'south' }
const policyText = [
  'urgent check within 3000 ms # desk: callers wait',
  'may-repeat check # desk: a check changes nothing',
  'never-repeat order # desk: an order is placed once'
].join('\n')

async function withDeployment (
  options: Partial<EntryDeploymentOptions>,
  run: (deployment: EntryDeployment, load: RequestLoad) => Promise<void>
): Promise<void> {
  const deployment = await EntryDeployment.start({
    seed: getTestSeed(),
    entries: [site, site],
    upstreams: [site, site, site],
    policyText,
    serviceMilliseconds: { check: 5, order: 5 },
    ...options
  })
  const load = RequestLoad.create({ connections: 100 })
  try {
    await run(deployment, load)
  } finally {
    await load.close()
    await deployment.stop()
  }
}

function countRuns (deployment: EntryDeployment, request: LoadRequest): number {
  const name = `${request.method ?? 'GET'} ${request.path}`
  return deployment.upstreams.reduce((sum, upstream) => sum + (upstream.counters.runsByRequest[name] ?? 0), 0)
}

/** Checks every reported outcome against the requests that the upstreams ran. */
function checkOutcomes (deployment: EntryDeployment, results: LoadResult[]): void {
  for (const { request, outcome, isOwnResponse } of results) {
    if (outcome === 'answered') assert.ok(isOwnResponse, `${request.path} got a response that is not its own`)
    if (outcome === 'not-run') assert.equal(countRuns(deployment, request), 0, `${request.path} ran but was reported as not run`)
    if (request.kind === 'order') assert.ok(countRuns(deployment, request) <= 1, `${request.path} ran more than once`)
    assert.notEqual(outcome, 'cut', `the connection of ${request.path} broke without an outcome`)
  }
}

/** Sends checks and orders before and during a fault of one upstream, and checks their outcomes. */
async function sendDuringFault (
  deployment: EntryDeployment,
  load: RequestLoad,
  fault: (upstream: StandInUpstream) => unknown,
  name: string
): Promise<LoadResult[]> {
  const createRequest = (number: number): LoadRequest => ({
    url: deployment.urls[number % deployment.urls.length],
    kind: number % 2 === 0 ? 'check' : 'order',
    method: number % 2 === 0 ? 'GET' : 'POST',
    path: `/${name}/${number}`,
    deadlineMilliseconds: 1000
  })
  const warm = Array.from({ length: 20 }, (_, number) => load.send({ ...createRequest(number), path: `/warm/${name}/${number}` }))
  await Promise.all(warm)
  const sending = load.sendEvenly({ perSecond: 60, durationMilliseconds: 1200, createRequest })
  await new Promise(resolve => setTimeout(resolve, 200))
  await fault(deployment.upstreams[0])
  await sending
  checkOutcomes(deployment, load.results)
  return load.results.filter(result => result.request.path.startsWith(`/${name}/`))
}

const faults: Array<{ name: string, apply: (upstream: StandInUpstream) => unknown, answeredShare: number }> = [
  { name: 'killed', apply: async upstream => await upstream.kill(), answeredShare: 0.9 },
  { name: 'frozen', apply: upstream => upstream.setFaults({ frozen: true }), answeredShare: 0.8 },
  { name: 'slow', apply: upstream => upstream.setFaults({ slowFactor: 20 }), answeredShare: 0.95 },
  { name: 'leaving', apply: upstream => upstream.setLeaving(true), answeredShare: 0.99 },
  { name: 'truncated', apply: upstream => upstream.setFaults({ truncatedShare: 0.5 }), answeredShare: 0.7 },
  { name: 'foreign', apply: upstream => upstream.setFaults({ foreignShare: 0.5 }), answeredShare: 0.7 },
  { name: 'duplicated', apply: upstream => upstream.setFaults({ duplicatedShare: 0.5 }), answeredShare: 0.7 },
  { name: 'late', apply: upstream => upstream.setFaults({ lateShare: 0.5, lateMilliseconds: 1200 }), answeredShare: 0.7 }
]

for (const { name, apply, answeredShare } of faults) {
  test(`reported outcomes are correct while an upstream is ${name}`, async () => {
    await withDeployment({}, async (deployment, load) => {
      const results = await sendDuringFault(deployment, load, apply, name)
      const answered = results.filter(result => result.outcome === 'answered').length / results.length
      assert.ok(answered >= answeredShare, `${answered} of the requests were answered`)
    })
  })
}

test('the outcome check detects responses that are accepted without a check of their request identifier', async () => {
  await assert.rejects(withDeployment({ variants: { isOwnAnswer: () => true } }, async (deployment, load) => {
    await sendDuringFault(deployment, load, upstream => upstream.setFaults({ foreignShare: 1 }), 'foreign')
  }), /not its own/)
})

test('the outcome check detects retries of orders whose response was lost', async () => {
  await assert.rejects(withDeployment({ variants: { mayRetry: () => true } }, async (deployment, load) => {
    await sendDuringFault(deployment, load, upstream => upstream.setFaults({ truncatedShare: 1 }), 'truncated')
  }), /more than once/)
})

/** Sends requests with each of five idempotency keys to all entry instances concurrently. */
async function sendSameKeys (deployment: EntryDeployment, load: RequestLoad): Promise<LoadResult[]> {
  const sent = Array.from({ length: 40 }, (_, number) => load.send({
    url: deployment.urls[number % deployment.urls.length],
    kind: 'order',
    method: 'POST',
    path: `/orders/${number % 5}`,
    key: `key-${number % 5}`,
    body: 'order',
    deadlineMilliseconds: 2500
  }))
  const results = await Promise.all(sent)
  checkOutcomes(deployment, results)
  return results
}

test('requests with the same key at several entry instances run once, and every caller gets the response', async () => {
  await withDeployment({ entries: [site, site, site, site] }, async (deployment, load) => {
    const results = await sendSameKeys(deployment, load)
    assert.deepEqual(new Set(results.map(result => result.outcome)), new Set(['answered']))
  })
})

test('the outcome check detects keys that are not claimed in the store', async () => {
  const claims = {
    claim: async () => ({ kind: 'claimed' as const, record: () => {} }), drain: async () => {}, stop: () => {}
  }
  await assert.rejects(
    withDeployment({ variants: { claims } }, async (deployment, load) => { await sendSameKeys(deployment, load) }),
    /more than once/)
})

test('each key runs at most once while the store loses messages, and an outage affects only requests with a key', async () => {
  await withDeployment({}, async (deployment, load) => {
    deployment.table.faults.lostAnswerShare = 0.3
    deployment.table.faults.lostRequestShare = 0.3
    await sendSameKeys(deployment, load)
    Object.assign(deployment.table.faults, { lostAnswerShare: 0, lostRequestShare: 0 })
    const first = await load.send({
      url: deployment.urls[0], kind: 'order', method: 'POST', path: '/orders/first', key: 'first', deadlineMilliseconds: 1500
    })
    assert.equal(first.outcome, 'answered')
    deployment.table.faults.down = true
    const order = await load.send({
      url: deployment.urls[0], kind: 'order', method: 'POST', path: '/orders/new', key: 'new', deadlineMilliseconds: 1500
    })
    assert.deepEqual([order.outcome, order.reason], ['unknown', 'key-not-claimed'])
    assert.equal(countRuns(deployment, order.request), 0)
    // A key that ran before the outage must not be reported as not run during it.
    const repeated = await load.send({
      url: deployment.urls[1], kind: 'order', method: 'POST', path: '/orders/first', key: 'first', deadlineMilliseconds: 1500
    })
    assert.equal(repeated.outcome, 'unknown')
    assert.equal((await load.send({ url: deployment.urls[0], kind: 'check', path: '/check' })).outcome, 'answered')
  })
})

test('a data centre that operators take out of service receives no new requests', async () => {
  const other = { dataCentre: 'south-b', region: 'south' }
  await withDeployment({ upstreams: [site, other] }, async (deployment, load) => {
    await deployment.changeConfiguration({ kind: 'data-centre-take-out', dataCentre: 'south-a', lost: false })
    await new Promise(resolve => setTimeout(resolve, 2500))
    const before = deployment.upstreams[0].counters.run
    await Promise.all(Array.from({ length: 20 }, (_, number) => load.send({
      url: deployment.urls[number % 2], kind: 'check', path: `/after/${number}`
    })))
    assert.equal(deployment.upstreams[0].counters.run, before)
    assert.equal(load.count(result => result.outcome === 'answered'), 20)
  })
})

test('an entry instance that stops under load interrupts no request', async () => {
  await withDeployment({ serviceMilliseconds: { check: 100 }, settings: { drainDelayMilliseconds: 300 } },
    async (deployment, load) => {
      let ready = true
      setTimeout(() => { ready = false }, 500)
      const sending = load.sendEvenly({
        perSecond: 60,
        durationMilliseconds: 1500,
        createRequest: number => ({ url: deployment.urls[ready ? number % 2 : 1], kind: 'check', path: `/stop/${number}` })
      })
      await new Promise(resolve => setTimeout(resolve, 500))
      const stopping = deployment.entries[0].stop()
      await Promise.all([sending, stopping])
      assert.deepEqual(load.results.filter(result => result.outcome !== 'answered').map(result => result.reason), [])
    })
})

/** Sends checks while an upstream leaves, and returns how many requests still reach it after the given time. */
async function countLateArrivals (
  deployment: EntryDeployment,
  load: RequestLoad,
  startLeaving: (upstream: StandInUpstream) => void,
  afterMilliseconds: number
): Promise<number> {
  const [upstream] = deployment.upstreams
  const getArrivals = () => upstream.counters.run + upstream.counters.refusedLeaving
  const createRequest = (number: number): LoadRequest => ({
    url: deployment.urls[number % deployment.urls.length], kind: 'check', path: `/leave/${number}`
  })
  const sending = load.sendEvenly({ perSecond: 60, durationMilliseconds: afterMilliseconds + 1500, createRequest })
  await new Promise(resolve => setTimeout(resolve, 300))
  startLeaving(upstream)
  await new Promise(resolve => setTimeout(resolve, afterMilliseconds))
  const before = getArrivals()
  await sending
  checkOutcomes(deployment, load.results)
  return getArrivals() - before
}

test('a leaving upstream receives no new work after its close notice while the list still shows it as live', async () => {
  await withDeployment({}, async (deployment, load) => {
    assert.equal(await countLateArrivals(deployment, load, upstream => upstream.setLeaving(true), 1000), 0)
  })
})

test('an upstream that only the list shows as leaving receives no new work after two seconds', async () => {
  await withDeployment({}, async (deployment, load) => {
    const arrivals = await countLateArrivals(deployment, load, () => {
      const listed = deployment.instances.find(instance => instance.instanceId === 'upstream-0')
      if (listed !== undefined) listed.state = 'leaving'
    }, 2000)
    assert.equal(arrivals, 0)
  })
})

test('the arrival count detects work that is sent to an upstream that is not known to be leaving', async () => {
  await withDeployment({}, async (deployment, load) => {
    assert.ok(await countLateArrivals(deployment, load, () => {}, 1000) > 0)
  })
})
