import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RequestLoad, type LoadResult } from '../../tools/bench/deployments/RequestLoad.js'
import { RoutingProcesses } from '../../tools/bench/routing/RoutingProcesses.js'
import { isKnownRed } from '../../tools/demo/isKnownRed.js'
import { getTestSeed } from '../shared/testSeed.js'

const site = { dataCentre: 'south-a', region: 'south' }

const killedEntry = 'after an entry process is killed, its claims remain and other instances use its slots and upstreams'
test(killedEntry, { todo: isKnownRed(killedEntry) }, async () => {
  const processes = await RoutingProcesses.start({
    seed: getTestSeed(),
    entries: [site, site],
    upstreams: [site, site],
    policyText: 'never-repeat order # desk: an order is placed once\nmay-repeat check # desk: a check changes nothing',
    serviceMilliseconds: { order: 1500, check: 20 },
    upstreamProcesses: 1
  })
  const load = RequestLoad.create({ connections: 40 })
  try {
    const order = { kind: 'order', method: 'POST' as const, path: '/orders/1', key: 'one', body: 'order' }
    const firstOrder = load.send({ ...order, url: processes.entryUrls[0], deadlineMilliseconds: 5000 })
    // Waits until an upstream runs the order, so that the entry process is killed during the run.
    for (let run = 0; run === 0;) run = (await processes.readCounters()).reduce((sum, { run }) => sum + run, 0)
    await processes.group.kill('entry-0')
    assert.equal((await firstOrder).outcome, 'cut')
    const repeat = await load.send({ ...order, url: processes.entryUrls[1], deadlineMilliseconds: 1000 })
    assert.deepEqual([repeat.outcome, repeat.reason], ['unknown', 'claimed-elsewhere'])
    // Upstreams whose home was the killed process are unavailable until the other process detects its failure.
    await new Promise(resolve => setTimeout(resolve, 2500))
    const before = await processes.readCounters()
    const checks = await Promise.all(Array.from({ length: 40 }, (_, number) => load.send({
      url: processes.entryUrls[1], kind: 'check', path: `/check/${number}`, deadlineMilliseconds: 5000
    })))
    assert.deepEqual(describeUnserved(checks), [])
    const after = await processes.readCounters()
    assert.ok(after.every(({ run }, index) => run > before[index].run), 'both upstreams are in use')
    assert.equal(after.reduce((sum, { runsByKey }) => sum + (runsByKey.one ?? 0), 0), 1, 'the order ran once')
  } finally {
    await load.close()
    await processes.stop()
  }
})

/** Describes the requests without an answer of their own, with their outcome, reason and duration. */
function describeUnserved (results: LoadResult[]): string[] {
  return results
    .filter(({ outcome, isOwnResponse }) => outcome !== 'answered' || !isOwnResponse)
    .map(({ request, outcome, statusCode, reason, milliseconds }) =>
      `${request.path}: ${outcome} ${statusCode} ${reason} after ${Math.round(milliseconds)} ms`)
}
