import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { MemoryTableService } from '../../stand-ins/table-service/MemoryTableService.js'
import { AUDIT_TABLE, type AuditRecord } from '../audit/AuditRecord.js'
import { silentLogger } from '../shared/Logger.js'
import { getTestSeed } from '../shared/testSeed.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import type { TableService, Transaction } from '../table/TableService.js'
import { EMPTY_CONFIGURATION, type Configuration } from './Configuration.js'
import type { ConfigurationChange } from './ConfigurationChange.js'
import { getSectionRowKey, readHead, SECTION_NAMES } from './ConfigurationStore.js'
import { ConfigurationWriter } from './ConfigurationWriter.js'
import { VersionedConfiguration, type VersionedConfigurationOptions } from './VersionedConfiguration.js'

/** The members of a reader that the checks use, so that a faulty reader can replace it. */
type Reader = Pick<VersionedConfiguration, 'start' | 'stop' | 'isLoaded' | 'getConfiguration' | 'answerExchange'>

/** The parts under test; a faulty implementation replaces one of them. */
interface Implementation {
  createReader: (options: VersionedConfigurationOptions) => Reader
  /** Wraps the table service that the writers use. */
  wrapForWriter: (table: TableService) => TableService
}

const correctImplementation: Implementation = {
  createReader: options => VersionedConfiguration.create(options),
  wrapForWriter: table => table
}

type Step =
  | { step: 'change', operator: number }
  | { step: 'outage', down: boolean }
  | { step: 'partition', reader: number, cut: boolean }
  | { step: 'links', cut: boolean }
  | { step: 'restart', reader: number }
  | { step: 'wait' }

interface Schedule {
  seed: number
  lostAnswerShare: number
  lostRequestShare: number
  /** The maximum delay of responses from the store and from peers, which can therefore arrive out of order. */
  lateMilliseconds: number
  steps: Array<Step & { thenWait: number }>
}

const READER_COUNT = 3
const OPERATOR_COUNT = 3

/** A restarted reader waits longer than this for its peers; peers that may respond later count as unreachable. */
const RELIABLE_DELAY_MILLISECONDS = 400

const createIndex = (count: number) => fastCheck.integer({ min: 0, max: count - 1 })
const steps: fastCheck.Arbitrary<Step> = fastCheck.oneof(
  {
    weight: 5,
    arbitrary: fastCheck.record({ step: fastCheck.constant('change' as const), operator: createIndex(OPERATOR_COUNT) })
  },
  {
    weight: 2,
    arbitrary: fastCheck.record({ step: fastCheck.constant('outage' as const), down: fastCheck.boolean() })
  },
  {
    weight: 2,
    arbitrary: fastCheck.record({
      step: fastCheck.constant('partition' as const), reader: createIndex(READER_COUNT), cut: fastCheck.boolean()
    })
  },
  { weight: 1, arbitrary: fastCheck.record({ step: fastCheck.constant('links' as const), cut: fastCheck.boolean() }) },
  {
    weight: 3,
    arbitrary: fastCheck.record({ step: fastCheck.constant('restart' as const), reader: createIndex(READER_COUNT) })
  },
  { weight: 1, arbitrary: fastCheck.record({ step: fastCheck.constant('wait' as const) }) }
)
const schedules: fastCheck.Arbitrary<Schedule> = fastCheck.record({
  seed: fastCheck.integer(),
  lostAnswerShare: fastCheck.constantFrom(0, 0.3, 0.7),
  lostRequestShare: fastCheck.constantFrom(0, 0.3),
  lateMilliseconds: fastCheck.constantFrom(0, RELIABLE_DELAY_MILLISECONDS, 3000),
  steps: fastCheck.array(
    fastCheck.tuple(steps, fastCheck.constantFrom(0, 100, 700, 2500))
      .map(([step, thenWait]) => ({ ...step, thenWait })),
    { minLength: 4, maxLength: 25 }
  )
})

/** Runs one schedule and returns the violations; each text starts with the violated property. */
async function runSchedule (schedule: Schedule, implementation: Implementation): Promise<string[]> {
  const clock = VirtualClock.create()
  const random = createRandom(schedule.seed)
  const table = MemoryTableService.create({ random, now: () => clock.monotonicMilliseconds() })
  table.faults.lostAnswerShare = schedule.lostAnswerShare
  table.faults.lostRequestShare = schedule.lostRequestShare
  const wait = (milliseconds: number): Promise<void> =>
    new Promise(resolve => { clock.setTimer(milliseconds, resolve) })
  const delayResponse = async (): Promise<void> => await wait(Math.floor(random() * schedule.lateMilliseconds))
  const violations: string[] = []
  const readers: Reader[] = []
  const isCutFromStore = Array.from({ length: READER_COUNT }, () => false)
  const lastObserved: Configuration[] = Array.from({ length: READER_COUNT }, () => EMPTY_CONFIGURATION)
  const restartStates = Array.from({ length: READER_COUNT }, () => ({ requiredVersion: 0, pending: false }))
  const textsByVersion = new Map<number, Set<string>>()
  let arePeerLinksCut = false

  const createReader = (reader: number): Reader => implementation.createReader({
    clock,
    logger: silentLogger,
    tableService: {
      read: async row => {
        const response = await table.read(row)
        await delayResponse()
        return isCutFromStore[reader] ? { kind: 'unavailable', reason: 'partition' } : response
      },
      readMany: async rows => {
        const response = await table.readMany(rows)
        await delayResponse()
        return isCutFromStore[reader] ? { kind: 'unavailable', reason: 'partition' } : response
      }
    },
    peers: () => readers.filter((_peer, other) => other !== reader).map(peer => ({
      exchangeConfiguration: async own => {
        if (arePeerLinksCut) throw new Error('cut')
        const response = peer.answerExchange(own)
        await delayResponse()
        return response
      }
    }))
  })

  const observe = (): void => {
    for (const [reader, currentReader] of readers.entries()) {
      if (!currentReader.isLoaded()) continue
      const configuration = currentReader.getConfiguration()
      const { version } = configuration
      const { requiredVersion, pending } = restartStates[reader]
      if (pending && version < requiredVersion) {
        violations.push(`reverted: reader ${reader} restarted with ${version}, not at least ${requiredVersion}`)
      }
      if (!pending && version < lastObserved[reader].version) {
        violations.push(`reverted: reader ${reader} went from ${lastObserved[reader].version} to ${version}`)
      }
      restartStates[reader].pending = false
      lastObserved[reader] = configuration
      textsByVersion.set(
        version, (textsByVersion.get(version) ?? new Set()).add(JSON.stringify(sortFields(configuration)))
      )
    }
  }
  const advance = async (milliseconds: number): Promise<void> => {
    for (let elapsed = 0; elapsed <= milliseconds; elapsed += 50) {
      await clock.advance(Math.min(50, milliseconds - elapsed))
      observe()
    }
  }
  const restart = (reader: number): void => {
    readers[reader].stop()
    const isSlow = schedule.lateMilliseconds > RELIABLE_DELAY_MILLISECONDS
    const peers = arePeerLinksCut || isSlow ? [] : readers.filter((peer, other) => other !== reader && peer.isLoaded())
    const peerVersions = peers.map(peer => peer.getConfiguration().version)
    const storeResponds = !table.faults.down && !isCutFromStore[reader]
    // If the store responds, the restarted reader must reach its last version again. Otherwise it must reach the
    // highest version of its reachable peers, up to its own last version.
    const minimumVersion = storeResponds
      ? lastObserved[reader].version
      : Math.min(lastObserved[reader].version, Math.max(...peerVersions, 0))
    restartStates[reader] = { requiredVersion: minimumVersion, pending: true }
    readers[reader] = createReader(reader)
    readers[reader].start()
  }

  for (let reader = 0; reader < READER_COUNT; reader++) readers.push(createReader(reader))
  for (const reader of readers) reader.start()
  const changes: Array<Promise<void>> = []
  const accepted: AuditRecord[] = []
  const rejected: string[] = []
  for (const [number, step] of schedule.steps.entries()) {
    if (step.step === 'change') {
      const subject = `${number}`
      const writer = ConfigurationWriter.create({ tableService: implementation.wrapForWriter(table), clock })
      changes.push((async () => {
        const base = await writer.readBase()
        if (base.kind === 'failed') return
        await wait(Math.floor(random() * 500))
        const change = createChange(number, subject)
        const origin = { operator: `operator-${step.operator}`, reason: subject, deadlineMilliseconds: 5000 }
        const outcome = await writer.write(base.value, change, origin)
        if (outcome.kind === 'ok') accepted.push(outcome.value.record)
        else if (outcome.failure.kind !== 'unknown') rejected.push(subject)
      })())
    }
    if (step.step !== 'wait' && step.step !== 'change') {
      // The minimum version after a restart is known only if no other fault occurs before the reader has loaded.
      for (const state of restartStates) state.requiredVersion = 0
    }
    if (step.step === 'outage') table.faults.down = step.down
    if (step.step === 'partition') isCutFromStore[step.reader] = step.cut
    if (step.step === 'links') arePeerLinksCut = step.cut
    if (step.step === 'restart') restart(step.reader)
    await advance(step.thenWait)
  }
  table.faults.down = false
  isCutFromStore.fill(false)
  await advance(12_000 + 4 * schedule.lateMilliseconds)
  await Promise.all(changes)
  const audit = await table.scan(AUDIT_TABLE)
  assert.ok(audit.kind === 'ok')
  const records = audit.value.map(row => row.value as unknown as AuditRecord)
  violations.push(...checkDurability(records, accepted, rejected))
  violations.push(...await checkCompleteVersions(table, textsByVersion))
  violations.push(...await checkConvergence(table, readers, records))
  for (const reader of readers) reader.stop()
  return violations
}

/** Creates a change with a unique subject; consecutive numbers change different sections. */
function createChange (number: number, subject: string): ConfigurationChange {
  if (number % 3 === 0) return { kind: 'worker-quarantine', workerId: subject }
  if (number % 3 === 1) return { kind: 'data-centre-take-out', dataCentre: subject, lost: false }
  return { kind: 'policy-apply', policyText: subject }
}

/** Checks that accepted changes are durable, rejected changes were not written, and the audit log has no gap. */
function checkDurability (records: AuditRecord[], accepted: AuditRecord[], rejected: string[]): string[] {
  const violations: string[] = []
  for (const record of accepted) {
    const durable = records.find(other => other.toVersion === record.toVersion)
    if (durable?.writeId !== record.writeId) violations.push(`not durable: version ${record.toVersion} of ${record.reason}`)
  }
  for (const subject of rejected) {
    if (records.some(record => record.reason === subject)) violations.push(`rejected but durable: ${subject}`)
  }
  for (const [position, record] of records.entries()) {
    if (record.toVersion !== position + 1) violations.push(`audit has a gap before version ${record.toVersion}`)
  }
  return violations
}

/** Checks that each configuration in force on a reader was one complete version, as stored in the section rows. */
async function checkCompleteVersions (
  table: MemoryTableService, textsByVersion: Map<number, Set<string>>
): Promise<string[]> {
  const violations: string[] = []
  for (const [version, texts] of textsByVersion) {
    const whole: Record<string, unknown> = { ...EMPTY_CONFIGURATION, version }
    for (const name of SECTION_NAMES) {
      for (let changed = version; changed > 0; changed--) {
        const row = await table.read(getSectionRowKey(name, changed))
        if (row.kind !== 'ok' || row.value === null) continue
        Object.assign(whole, (row.value.value as { content: object }).content)
        break
      }
    }
    const expected = JSON.stringify(sortFields(whole))
    for (const text of texts) if (text !== expected) violations.push(`incomplete version: ${text} is not ${expected}`)
  }
  return violations
}

/** Checks that every reader ends with the newest version, and that this version contains every accepted change. */
async function checkConvergence (
  table: MemoryTableService, readers: Reader[], records: AuditRecord[]
): Promise<string[]> {
  const violations: string[] = []
  const head = await readHead(table)
  assert.ok(head.kind === 'ok')
  for (const [number, reader] of readers.entries()) {
    const { version, quarantinedWorkers, dataCentres, policyText } = reader.getConfiguration()
    if (version !== head.value.head.version) violations.push(`not in force: reader ${number} has version ${version}`)
    const names = new Set([...quarantinedWorkers, ...dataCentres.map(dataCentre => dataCentre.name)])
    const policies = records.filter(record => record.kind === 'policy-apply')
    const newest = policies.at(-1)?.reason ?? ''
    const missing = records.filter(record => record.kind !== 'policy-apply' && !names.has(record.reason))
    if (missing.length > 0 || policyText !== newest) violations.push(`reverted: reader ${number} lost a change`)
  }
  return violations
}

function sortFields (configuration: object): object {
  return Object.fromEntries(Object.entries(configuration).sort(([left], [right]) => left < right ? -1 : 1))
}

test('installs only complete versions and reverts no durable change under faults', async () => {
  await fastCheck.assert(fastCheck.asyncProperty(schedules, async schedule => {
    assert.deepEqual(await runSchedule(schedule, correctImplementation), [])
  }), { seed: getTestSeed(), numRuns: 150 })
})

/** Creates a reader with the given rule for installing a version and the given way to assemble one. */
function createFaultyReader (
  options: VersionedConfigurationOptions,
  mayInstall: (received: Configuration, current: Configuration) => boolean,
  installsSectionsSeparately: boolean
): Reader {
  let current = EMPTY_CONFIGURATION
  let loaded = false
  let running = true
  const install = (received: Configuration): void => {
    if (!running || !mayInstall(received, current)) return
    current = received
    loaded = true
  }
  const poll = async (): Promise<void> => {
    const read = await readHead(options.tableService)
    if (read.kind === 'failed') return
    const { head } = read.value
    let assembled = { ...EMPTY_CONFIGURATION, version: head.version }
    for (const name of SECTION_NAMES.filter(section => head.sections[section] > 0)) {
      const row = await options.tableService.read(getSectionRowKey(name, head.sections[name]))
      if (row.kind !== 'ok' || row.value === null) return
      assembled = { ...assembled, ...(row.value.value as { content: object }).content }
      if (installsSectionsSeparately) install(assembled)
    }
    install(assembled)
  }
  const runRound = (): void => {
    if (!running) return
    options.clock.setTimer(1000, runRound)
    poll()
    for (const peer of options.peers()) {
      peer.exchangeConfiguration(current).then(received => received !== null && install(received), () => {})
    }
  }
  return {
    start: runRound,
    stop: () => { running = false },
    isLoaded: () => loaded,
    getConfiguration: () => current,
    answerExchange: own => loaded && current.version > own.version ? current : null
  }
}

/** Removes the conditions of a transaction, like a writer that does not name the version that it read. */
function dropConditions (transaction: Transaction): Transaction {
  return {
    operations: transaction.operations.map(operation => ({ ...operation, condition: { kind: 'any' } }))
  }
}

const faultyImplementations: Array<{ name: string, implementation: Implementation, expectedViolation: string }> = [
  {
    name: 'a reader that installs every version it receives',
    implementation: {
      ...correctImplementation,
      createReader: options => createFaultyReader(options, () => true, false)
    },
    expectedViolation: 'reverted'
  },
  {
    name: 'a reader that installs a peer\'s older version before the store has responded',
    implementation: {
      ...correctImplementation,
      createReader: options => createFaultyReader(options, (next, current) => next.version > current.version, false)
    },
    expectedViolation: 'reverted: reader'
  },
  {
    name: 'a reader that installs sections as they arrive',
    implementation: {
      ...correctImplementation,
      createReader: options => createFaultyReader(options, (next, current) => next.version >= current.version, true)
    },
    expectedViolation: 'incomplete version'
  },
  {
    name: 'a writer that reports a lost response as accepted',
    implementation: {
      ...correctImplementation,
      wrapForWriter: table => ({
        read: async row => await table.read(row),
        readMany: async rows => await table.readMany(rows),
        scan: async (name, options) => await table.scan(name, options),
        transact: async transaction => {
          const outcome = await table.transact(transaction)
          return outcome.kind === 'unknown' ? { kind: 'committed', versions: [] } : outcome
        }
      })
    },
    expectedViolation: 'not durable'
  },
  {
    name: 'a writer that does not name the version that it read',
    implementation: {
      ...correctImplementation,
      wrapForWriter: table => ({
        read: async row => await table.read(row),
        readMany: async rows => await table.readMany(rows),
        scan: async (name, options) => await table.scan(name, options),
        transact: async transaction => await table.transact(dropConditions(transaction))
      })
    },
    expectedViolation: 'not durable'
  }
]

for (const { name, implementation, expectedViolation } of faultyImplementations) {
  test(`the check of configuration properties detects ${name}`, async () => {
    const result = await fastCheck.check(fastCheck.asyncProperty(schedules, async schedule => {
      const violations = await runSchedule(schedule, implementation)
      return !violations.some(violation => violation.startsWith(expectedViolation))
    }), { seed: getTestSeed(), numRuns: 300, endOnFailure: true })
    assert.equal(result.failed, true)
  })
}
