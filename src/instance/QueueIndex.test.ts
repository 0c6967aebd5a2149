import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { getTestSeed } from '../shared/testSeed.js'
import { findQueue, type QueueConfiguration, type SiteConfiguration } from './SiteConfiguration.js'

const ROUTE_COUNT = 3000
const REQUEST_COUNT = 100
/** Each request may look at a few queues, not at all of them. */
const READS_PER_REQUEST = 10

function createQueue (name: string, host: string, pathPrefix: string): QueueConfiguration {
  return {
    name,
    host,
    pathPrefix,
    serviceName: 'service',
    priority: 0,
    attemptLimit: 1,
    stretch: 1,
    targetLatencyMilliseconds: 0,
    timeoutMilliseconds: 0
  }
}

function createConfiguration (queues: QueueConfiguration[]): SiteConfiguration {
  return { version: 1, queues, maximumBodyBytes: 1000 }
}

/** Finds a queue by a scan of all of them. */
function scanQueues (queues: QueueConfiguration[], host: string, path: string): QueueConfiguration | undefined {
  let found: QueueConfiguration | undefined
  for (const queue of queues) {
    if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue
    if (found === undefined || queue.pathPrefix.length > found.pathPrefix.length) found = queue
  }
  return found
}

test('a request finds the same queue as a scan of all queues', () => {
  const host = fastCheck.constantFrom('', 'a.example', 'b.example', '__proto__')
  const text = fastCheck.oneof(
    fastCheck.string({ unit: fastCheck.constantFrom('/', 'a', 'b'), maxLength: 5 }), fastCheck.string({ unit: 'binary', maxLength: 4 }),
    fastCheck.constantFrom('', '/', 'constructor')
  )
  const queues = fastCheck.array(fastCheck.tuple(host, text), { maxLength: 20 })
  fastCheck.assert(fastCheck.property(queues, host, text, text, (routes, requestHost, start, end) => {
    const configured = routes.map(([queueHost, prefix], index) => createQueue(String(index), queueHost, prefix))
    const configuration = createConfiguration(configured)
    const prefixes = routes.map(([, prefix]) => prefix)
    for (const path of [start, end, start + end, ...prefixes, ...prefixes.map(prefix => prefix + end)]) {
      assert.equal(findQueue(configuration, requestHost, path), scanQueues(configured, requestHost, path))
    }
  }), { seed: getTestSeed(), numRuns: 1000 })
})

test('requests do not look at all queues once a configuration is in use', () => {
  let reads = 0
  const queues = Array.from({ length: ROUTE_COUNT }, (_, index) => {
    const queue = createQueue(`queue-${index}`, `${index % 5}.example`, `/prefix${index}/`)
    return new Proxy(queue, {
      get: (target, field) => {
        reads++
        return Reflect.get(target, field)
      }
    })
  })
  const configuration = createConfiguration(queues)
  findQueue(configuration, '0.example', '/')
  reads = 0
  for (let index = 0; index < REQUEST_COUNT; index++) {
    const found = findQueue(configuration, `${index % 5}.example`, `/prefix${index}/0123456789abcdef`)
    assert.equal(found, queues[index])
    assert.equal(findQueue(configuration, 'other.example', `/prefix${index}/`), undefined)
  }
  assert.ok(reads <= REQUEST_COUNT * READS_PER_REQUEST, `${reads} reads`)
})
