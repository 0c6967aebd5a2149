import { decodeOperatorRow, OPERATOR_TABLE } from '../../../platform/decodePlatformRows.js'
import { PlatformTable } from '../../../platform/PlatformTable.js'
import { parseJson } from '../../../platform/wireValues.js'
import { findQueue, type QueueConfiguration, type SiteConfiguration } from '../../../src/instance/SiteConfiguration.js'
import { QueueIndex } from '../../../src/instance/QueueIndex.js'
import type { HttpCaller } from '../../../src/shared/HttpCaller.js'
import type { JsonValue } from '../../../src/shared/JsonValue.js'
import { PageSize } from '../../../src/table/PageSize.js'
import { createLargeConfiguration } from '../configuration/createLargeConfiguration.js'
import { measureSiteUpdates } from '../configuration/measureSiteUpdates.js'
import { TurnProbe } from '../configuration/TurnProbe.js'
import type { Figure } from '../Figure.js'
import { measureHeapBytes } from '../measure/measureHeapBytes.js'

const ROUTE_COUNTS = [3000, 10_000]
const REPETITIONS = 15
const REQUEST_COUNT = 200

/**
 * Measures what a new version of a large configuration costs a process: each part by itself, and the longest turn of
 * the event loop from the answer of the store to the decoded configuration. The first repetition runs code that is not
 * compiled yet, as in a process that rarely gets a new version.
 * @param seed The version of the first configuration.
 * @returns The figures.
 */
export async function runBench (seed: number): Promise<Figure[]> {
  const figures: Figure[] = []
  for (const routeCount of ROUTE_COUNTS) figures.push(...await measure(routeCount, seed))
  return figures
}

async function measure (routeCount: number, seed: number): Promise<Figure[]> {
  const samples = new Map<string, number[]>()
  const record = (name: string, value: number) => {
    samples.set(name, [...samples.get(name) ?? [], value])
  }
  const time = <Value>(name: string, work: () => Value): Value => {
    const startedAt = performance.now()
    const value = work()
    record(name, performance.now() - startedAt)
    return value
  }
  let answerBytes = 0
  for (let repetition = 0; repetition < REPETITIONS; repetition++) {
    const body = createAnswer(routeCount, seed + repetition)
    answerBytes = body.length
    await measureTurns(body, record)
    const startedAt = performance.now()
    const answer = time('parse of the answer', () => parseJson(body)) as { rows: Array<{ value: string }> }
    const bytes = time('base64', () => Buffer.from(answer.rows[0].value, 'base64'))
    const value = time('parse of the value', () => parseJson(bytes)) as JsonValue
    const configuration = time('decoding of routes', () => decode(value))
    record('all in one turn', performance.now() - startedAt)
    time('index', () => QueueIndex.create(configuration.queues))
    time('services of queues', () => new Map(configuration.queues.map(queue => [queue.name, queue.serviceName])))
    measureRequests(configuration, time)
  }
  const create = (figure: string, value: number, unit: string): Figure =>
    ({ figure: `${figure}, ${routeCount} routes`, value: Number(value.toFixed(3)), unit, naive: null, target: 'no target' })
  const heap = measureHeapBytes(() => {
    const configuration = decode(parseJson(JSON.stringify(createLargeConfiguration(routeCount, seed))) as JsonValue)
    findQueue(configuration, '', '')
    return configuration
  })
  return [
    create('size of the answer', answerBytes, 'bytes'),
    create('heap of the configuration with its index', heap.bytes, 'bytes'),
    ...[...samples].flatMap(([name, values]) => {
      const unit = name.startsWith('number') ? 'turns' : 'ms'
      const median = [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)]
      return [create(`${name}, first`, values[0], unit), create(`${name}, median`, median, unit)]
    }),
    ...measureSiteUpdates(decode(createLargeConfiguration(routeCount, seed) as JsonValue))
  ]
}

function createAnswer (routeCount: number, version: number): Buffer {
  const value = Buffer.from(JSON.stringify(createLargeConfiguration(routeCount, version))).toString('base64')
  return Buffer.from(JSON.stringify({
    rows: [{ table: OPERATOR_TABLE, part: '', key: 'config', value, ver: version }], ver: version, nowMs: 1
  }))
}

function decode (value: JsonValue): SiteConfiguration {
  const row = decodeOperatorRow('config', value)
  if (row.kind !== 'configuration') throw new Error('the configuration is not valid')
  return row.configuration
}

/** Reads a version with the client of the store and decodes it. */
async function measureTurns (body: Buffer, record: (name: string, value: number) => void): Promise<void> {
  const caller = { call: async () => ({ kind: 'answered' as const, statusCode: 200, body }) }
  const table = PlatformTable.create({
    caller: caller as unknown as HttpCaller,
    address: '',
    getPartition: () => '',
    getPartitions: () => [''],
    pageSize: PageSize.create(1000)
  })
  const probe = TurnProbe.create()
  const outcome = await table.waitForChanges(OPERATOR_TABLE, 0, 0)
  if (outcome.kind === 'changes') decode(outcome.changes[0].row?.value ?? null)
  const { turns, longestMilliseconds } = probe.stop()
  record('longest turn', longestMilliseconds)
  record('number of turns', turns)
}

function measureRequests (configuration: SiteConfiguration, time: (name: string, work: () => void) => void): void {
  const { queues } = configuration
  const requests = Array.from({ length: REQUEST_COUNT }, (_, index) => queues[index * 13 % queues.length])
  findQueue(configuration, '', '')
  time(`${REQUEST_COUNT} requests`, () => {
    for (const { host, pathPrefix } of requests) findQueue(configuration, host, `${pathPrefix}0123456789abcdef`)
  })
  time(`${REQUEST_COUNT} requests by scan`, () => {
    for (const { host, pathPrefix } of requests) scan(queues, host, `${pathPrefix}0123456789abcdef`)
  })
}

function scan (queues: readonly QueueConfiguration[], host: string, path: string): QueueConfiguration | undefined {
  let found: QueueConfiguration | undefined
  for (const queue of queues) {
    if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue
    if (found === undefined || queue.pathPrefix.length > found.pathPrefix.length) found = queue
  }
  return found
}
