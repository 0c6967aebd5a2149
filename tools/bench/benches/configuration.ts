import { spawn } from 'node:child_process'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'
import { createRandom } from '../../../stand-ins/shared/createRandom.js'
import {
  ConfigurationWriter, readHead, type ConfigurationChange, type ConfigurationWriterOptions
} from '../../../src/configuration/index.js'
import { parsePolicy } from '../../../src/policy/index.js'
import { SystemClock } from '../../../src/shared/index.js'
import { HttpTableService } from '../../../src/table/index.js'
import { createLargePolicy } from '../configuration/createLargePolicy.js'
import { measureIdleReads } from '../configuration/measureIdleReads.js'
import { ReaderGroup, type VersionInstallation } from '../configuration/ReaderGroup.js'
import type { Figure } from '../Figure.js'

const TABLE_PORT = 26_100
const READER_PORTS = [26_110, 26_111, 26_112, 26_113, 26_114, 26_115, 26_116, 26_117]
const TABLE_URL = `http://127.0.0.1:${TABLE_PORT}`
const MEASURED_CHANGES = 40
const FAULT_ROUNDS = 12
const POLICY_RULES = 10_000
const CONCURRENT_OPERATORS = 3

/** Longer than the slowest change under faults, so that all readers have the newest version when they are compared. */
const SETTLE_MILLISECONDS = 8000

/**
 * Measures how soon configuration changes are in force, whether a reader ever reverts to an older version, how often
 * idle readers read the store, and how long the policy check takes.
 * @param seed The seed of the times of changes and faults.
 * @returns The figures.
 */
export async function runBench (seed: number): Promise<Figure[]> {
  const policyTimes = measurePolicyCheck()
  const idleReads = await measureIdleReads(seed)
  const random = createRandom(seed)
  const tableProgram = fileURLToPath(new URL('../../../stand-ins/table-service/program.js', import.meta.url))
  const table = spawn(process.execPath, [tableProgram], {
    env: { STAND_IN_PORT: String(TABLE_PORT), STAND_IN_SEED: String(seed) }, stdio: 'ignore'
  })
  const readers = ReaderGroup.create({ tableUrl: TABLE_URL, ports: READER_PORTS })
  try {
    await waitForTable()
    await readers.startAll()
    await delay(2000)
    const inForce = await measureInForce(readers, random)
    const reverts = await measureReverts(readers, random)
    console.log(JSON.stringify({ policyTimes, idleReads, inForce, reverts }))
    const { worst, median } = inForce.reader
    return [
      createFigure('configuration_in_force_worst', worst, 's', inForce.lonely.worst, 'at most 3'),
      createFigure('configuration_in_force_median', median, 's', inForce.lonely.median, 'at most 1'),
      createFigure('configuration_reverts', reverts.reverts, 'reverts', null, '0'),
      createFigure('configuration_accepted_lost', reverts.lost, 'accepted changes', null, '0'),
      createFigure('store_reads_per_second', idleReads.entryInstances,
        'reads/s of 8 idle entry instances, entry and scheduler programs', null, 'at most 40'),
      createFigure('store_reads_per_second_entry_programs', idleReads.entryPrograms,
        'reads/s of 8 idle entry programs alone', null, 'part of the figure above'),
      createFigure('policy_check_time', Math.max(...policyTimes),
        'ms for 10,000 rules, the slowest of 5', null, 'at most 200')
    ]
  } finally {
    await readers.killAll()
    table.kill('SIGTERM')
  }
}

function measurePolicyCheck (): number[] {
  const texts = [createLargePolicy(POLICY_RULES), createLargePolicy(POLICY_RULES, 0.5)]
  return [texts[0], texts[1], texts[0], texts[1], texts[0]].map(text => {
    const startedAt = performance.now()
    parsePolicy(text)
    return Math.round(performance.now() - startedAt)
  })
}

async function waitForTable (): Promise<void> {
  for (let attempt = 0; attempt < 100; attempt++) {
    try {
      await readCounters()
      return
    } catch {
      await delay(100)
    }
  }
  throw new Error(`the table service does not respond at ${TABLE_URL}`)
}

async function readCounters (): Promise<{ reads: number }> {
  const response = await request(`${TABLE_URL}/counters`)
  return await response.body.json() as { reads: number }
}

async function setFaults (faults: Record<string, unknown>): Promise<void> {
  const response = await request(`${TABLE_URL}/faults`, {
    method: 'POST', body: JSON.stringify(faults), headers: { 'content-type': 'application/json' }
  })
  await response.body.dump()
}

function createWriterOptions (): ConfigurationWriterOptions & { tableService: HttpTableService } {
  return { tableService: HttpTableService.create({ url: TABLE_URL }), clock: SystemClock.create() }
}

/** Measures the time from the moment a change is reported as accepted until the last reader has it in force. */
async function measureInForce (readers: ReaderGroup, random: () => number) {
  const options = createWriterOptions()
  const writer = ConfigurationWriter.create(options)
  const acceptedAt = new Map<number, number>()
  readers.sendToAll('start-lonely')
  await delay(2000)
  for (let number = 0; number < MEASURED_CHANGES; number++) {
    const base = await writer.readBase()
    if (base.kind === 'failed') throw new Error(base.failure.kind)
    const outcome = await writer.write(base.value, createChange(number, 'a'), { operator: 'bench', reason: 'bench' })
    if (outcome.kind === 'failed') throw new Error(outcome.failure.kind)
    acceptedAt.set(outcome.value.configuration.version, Date.now())
    await delay(1200 + random() * 1000)
  }
  readers.sendToAll('stop-lonely')
  await options.tableService.close()
  return {
    reader: summarizeInForce(readers.installations, acceptedAt, 'reader'),
    lonely: summarizeInForce(readers.installations, acceptedAt, 'lonely')
  }
}

function summarizeInForce (installations: VersionInstallation[], acceptedAt: Map<number, number>, name: string) {
  const seconds = [...acceptedAt].map(([version, at]) => {
    const byReader = READER_PORTS.map((_port, reader) => installations.find(installation =>
      installation.name === name && installation.reader === reader && installation.version >= version)?.at ?? Infinity)
    return Math.max(0, Math.max(...byReader) - at) / 1000
  }).sort((left, right) => left - right)
  return { worst: seconds.at(-1)!, median: seconds[Math.floor(seconds.length / 2)], changes: seconds.length }
}

function createChange (number: number, phase: string): ConfigurationChange {
  if (number % 3 === 0) return { kind: 'worker-quarantine', workerId: `${phase}-${number}` }
  if (number % 3 === 1) return { kind: 'data-centre-take-out', dataCentre: `${phase}-${number}`, lost: false }
  return { kind: 'worker-declare-lost', workerId: `${phase}-${number}` }
}

/** Lets concurrent operators change the configuration while readers are killed or frozen and responses are lost. */
async function measureReverts (readers: ReaderGroup, random: () => number) {
  const options = createWriterOptions()
  const firstObservation = readers.installations.length
  const accepted: string[] = []
  const counts = { kills: 0, freezes: 0, outages: 0, changes: 0 }
  const faultPhase = { running: true }
  await setFaults({ lostAnswerShare: 0.2, lostRequestShare: 0.1 })
  const operators = Array.from({ length: CONCURRENT_OPERATORS }, async (_none, operator) => {
    const writer = ConfigurationWriter.create(options)
    for (let number = 0; faultPhase.running; number++) {
      const base = await writer.readBase()
      const change = createChange(number, `operator-${operator}`)
      const origin = { operator: `${operator}`, reason: 'bench', deadlineMilliseconds: 4000 }
      if (base.kind === 'ok') {
        const outcome = await writer.write(base.value, change, origin)
        counts.changes++
        if (outcome.kind === 'ok') accepted.push(`operator-${operator}-${number}`)
      }
      await delay(random() * 600)
    }
  })
  for (let round = 0; round < FAULT_ROUNDS; round++) {
    const killed = Math.floor(random() * READER_PORTS.length)
    const frozen = (killed + 1 + Math.floor(random() * (READER_PORTS.length - 1))) % READER_PORTS.length
    const down = random() < 0.4
    if (down) await setFaults({ down: true })
    readers.signal(frozen, 'SIGSTOP')
    await readers.kill(killed)
    await readers.start(killed)
    await delay(500 + random() * 2500)
    readers.signal(frozen, 'SIGCONT')
    if (down) await setFaults({ down: false })
    await delay(random() * 1500)
    counts.kills++
    counts.freezes++
    if (down) counts.outages++
  }
  faultPhase.running = false
  await setFaults({ lostAnswerShare: 0, lostRequestShare: 0, down: false })
  await Promise.all(operators)
  await delay(SETTLE_MILLISECONDS)
  const observed = readers.installations.slice(firstObservation).filter(({ name }) => name === 'reader')
  const reverts = findReverts(observed)
  const lost = await countLost(options.tableService, accepted, observed)
  await options.tableService.close()
  return { reverts: reverts.length, lost, accepted: accepted.length, installations: observed.length, ...counts }
}

/** Returns the installations of a version that is lower than one the same reader had before, also across restarts. */
function findReverts (installations: VersionInstallation[]): VersionInstallation[] {
  const highest = new Map<number, number>()
  return installations.filter(({ reader, version }) => {
    const before = highest.get(reader) ?? 0
    highest.set(reader, Math.max(before, version))
    return version < before
  })
}

/** Counts the accepted changes missing from the newest version; counts all if a reader did not install that version. */
async function countLost (
  tableService: HttpTableService,
  accepted: string[],
  observed: VersionInstallation[]
): Promise<number> {
  const head = await readHead(tableService)
  const base = await ConfigurationWriter.create({ tableService, clock: SystemClock.create() }).readBase()
  if (head.kind === 'failed' || base.kind === 'failed') throw new Error('the table service does not respond')
  const last = READER_PORTS.map((_port, reader) => observed.findLast(seen => seen.reader === reader)?.version)
  if (last.some(version => version !== head.value.head.version)) return accepted.length
  const { quarantinedWorkers, lostWorkers, dataCentres } = base.value.configuration
  const present = new Set([...quarantinedWorkers, ...lostWorkers, ...dataCentres.map(dataCentre => dataCentre.name)])
  return accepted.filter(name => !present.has(name)).length
}

function createFigure (figure: string, value: number, unit: string, naive: number | null, target: string): Figure {
  return { figure, value, unit, naive, target }
}
