import { setTimeout as delay } from 'node:timers/promises'
import { createWorkers, listWorkers, thuanPhat } from '../../demo/deployments.js'
import { callJsonOrThrow } from '../../demo/httpJson.js'
import { ProcessGroup } from '../../demo/ProcessGroup.js'
import type { ListedInstance } from '../../../src/membership/InstanceList.js'

const TABLE_PORT = 26_200
const LIST_PORT = 26_201
const WORKERS_PORT = 26_202
const FIRST_ENTRY_PORT = 26_210
const FIRST_SCHEDULER_PORT = 26_220
const ENTRY_INSTANCES = 8

/** Longer than the schedulers take to acquire all shards after their start. */
const SETTLE_MILLISECONDS = 15_000
const IDLE_MILLISECONDS = 20_000

/** The reads of the table service per second, by all instances together. */
export interface IdleReads {
  /** The reads by eight entry programs alone. */
  entryPrograms: number
  /** The reads by eight entry instances, each with an entry program and a scheduler program. */
  entryInstances: number
}

/**
 * Measures how often eight idle entry instances of the Thuan Phat deployment read the table service.
 * @param seed The seed of the stand-ins.
 * @returns The reads per second.
 */
export async function measureIdleReads (seed: number): Promise<IdleReads> {
  const group = ProcessGroup.create()
  try {
    await startPlatform(group, seed)
    await Promise.all(getEntryNumbers().map(number => startProgram(group, 'entry', number)))
    await delay(2000)
    const entryPrograms = await countReads()
    await Promise.all(getEntryNumbers().map(number => startProgram(group, 'scheduler', number)))
    await delay(SETTLE_MILLISECONDS)
    return { entryPrograms, entryInstances: await countReads() }
  } finally {
    await group.killAll()
  }
}

async function countReads (): Promise<number> {
  const url = `http://127.0.0.1:${TABLE_PORT}/counters`
  const before = await callJsonOrThrow<{ reads: number }>('GET', url)
  await delay(IDLE_MILLISECONDS)
  const after = await callJsonOrThrow<{ reads: number }>('GET', url)
  return (after.reads - before.reads) / (IDLE_MILLISECONDS / 1000)
}

async function startPlatform (group: ProcessGroup, seed: number): Promise<void> {
  const instances: ListedInstance[] = [
    ...listWorkers(thuanPhat, `127.0.0.1:${WORKERS_PORT}`),
    ...getEntryNumbers().flatMap(number => [describeProgram('entry', number), describeProgram('scheduler', number)])
  ]
  const environment = { STAND_IN_SEED: String(seed) }
  await startStandIn(group, 'table-service', TABLE_PORT, '/counters', environment)
  await startStandIn(group, 'instance-list', LIST_PORT, '/instances', {
    STAND_IN_LAG_MILLISECONDS: '1000', STAND_IN_INSTANCES: JSON.stringify(instances)
  })
  await startStandIn(group, 'workers', WORKERS_PORT, '/runs', {
    ...environment,
    STAND_IN_TABLE_SERVICE_URL: `http://127.0.0.1:${TABLE_PORT}`,
    STAND_IN_WORKERS: JSON.stringify(createWorkers(thuanPhat))
  })
}

async function startStandIn (
  group: ProcessGroup,
  name: string,
  port: number,
  readyPath: string,
  environment: Record<string, string>
): Promise<void> {
  await group.start({
    name,
    file: `dist/stand-ins/${name}/program.js`,
    environment: { STAND_IN_PORT: String(port), ...environment },
    readyUrl: `http://127.0.0.1:${port}${readyPath}`
  })
}

async function startProgram (group: ProcessGroup, program: 'entry' | 'scheduler', number: number): Promise<void> {
  const { instanceId, address, dataCentre, region } = describeProgram(program, number)
  await group.start({
    name: instanceId,
    file: `bin/papayamoor-${program}.js`,
    environment: {
      PAPAYAMOOR_INSTANCE_ID: instanceId,
      PAPAYAMOOR_DATA_CENTRE: dataCentre,
      PAPAYAMOOR_REGION: region,
      PAPAYAMOOR_LISTEN_PORT: address.split(':')[1],
      PAPAYAMOOR_TABLE_SERVICE_URL: `http://127.0.0.1:${TABLE_PORT}`,
      PAPAYAMOOR_INSTANCE_LIST_URL: `http://127.0.0.1:${LIST_PORT}`
    },
    readyUrl: `http://${address}/readyz`
  })
}

function describeProgram (program: 'entry' | 'scheduler', number: number): ListedInstance {
  const { name, region } = thuanPhat.dataCentres[number % thuanPhat.dataCentres.length]
  const port = (program === 'entry' ? FIRST_ENTRY_PORT : FIRST_SCHEDULER_PORT) + number
  return {
    instanceId: `${program}-${number}`,
    role: program,
    address: `127.0.0.1:${port}`,
    dataCentre: name,
    region,
    rack: `${name}-rack-1`,
    state: 'live'
  }
}

function getEntryNumbers (): number[] {
  return Array.from({ length: ENTRY_INSTANCES }, (_none, number) => number)
}
