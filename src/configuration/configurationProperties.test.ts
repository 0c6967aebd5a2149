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

/** What the proofs need of a reader, so that a broken one can take its place. */
type Reader = Pick<VersionedConfiguration, 'start' | 'stop' | 'isLoaded' | 'getConfiguration' | 'answerExchange'>

/** The parts under proof; a broken variant replaces one of them. */
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
  /** Answers of reads and peers arrive up to this much later than they were made, and out of order. */
  lateMilliseconds: number
  steps: Array<Step & { thenWait: number }>
}

const READER_COUNT = 3
const OPERATOR_COUNT = 3

/** Within this time after a restart a reader asks its peers; slower links do not count as reachable. */
const RELIABLE_DELAY_MILLISECONDS = 400

const createIndex = (count: number) => fastCheck.integer({ min: 0, max: count - 1 })
const steps: fastCheck.Arbitrary<Step> = fastCheck.oneof(
  {
    weight: 5,
    arbitrary: fastCheck.record({ step: fastCheck.constant('change' as const), operator: createIndex(OPERATOR_COUNT) })
  },
  { weight: 2, arbitrary: fastCheck.record({ step: fastCheck.constant('outage' as const), down: fastCheck.boolean() }) },
  {
    weight: 2,
    arbitrary: fastCheck.record({
      step: fastCheck.constant('partition' as const), reader: createIndex(READER_COUNT), cut: fastCheck.boolean()
    })
  },
  { weight: 1, arbitrary: fastCheck.record({ step: fastCheck.constant('links' as const), cut: fastCheck.boolean() }) },
  { weight: 3, arbitrary: fastCheck.record({ step: fastCheck.constant('restart' as const), reader: createIndex(READER_COUNT) }) },
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

/** Runs one schedule and returns each broken promise, starting with its name. */
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
  const restartStates = Array.from({ length: READER_COUNT }, () => ({ floor: 0, pending: false }))
  const textsByVersion = new Map<number, Set<string>>()
  let arePeerLinksCut = false

  const createReader = (reader: number): Reader => implementation.createReader({
    clock,
    logger: silentLogger,
    tableService: {
      read: async row => {
        const answer = await table.read(row)
        await delayResponse()
        return isCutFromStore[reader] ? { kind: 'unavailable', reason: 'partition' } : answer
      },
      readMany: async rows => {
        const answer = await table.readMany(rows)
        await delayResponse()
        return isCutFromStore[reader] ? { kind: 'unavailable', reason: 'partition' } : answer
      }
    },
    peers: () => readers.filter((_peer, other) => other !== reader).map(peer => ({
      exchangeConfiguration: async own => {
        if (arePeerLinksCut) throw new Error('cut')
        const answer = peer.answerExchange(own)
        await delayResponse()
        return answer
      }
    }))
  })

  const observe = (): void => {
    for (const [reader, present] of readers.entries()) {
      if (!present.isLoaded()) continue
      const configuration = present.getConfiguration()
      const { version } = configuration
      const { floor, pending } = restartStates[reader]
      if (pending && version < floor) {
        violations.push(`reverted: reader ${reader} restarted with ${version}, could have had ${floor}`)
      }
      if (!pending && version < lastObserved[reader].version) {
        violations.push(`reverted: reader ${reader} went from ${lastObserved[reader].version} to ${version}`)
      }
      restartStates[reader].pending = false
      lastObserved[reader] = configuration
      textsByVersion.set(version, (textsByVersion.get(version) ?? new Set()).add(JSON.stringify(sortFields(configuration))))
    }
  }
  const advance = async (milliseconds: number): Promise<void> => {
    for (let passed = 0; passed <= milliseconds; passed += 50) {
      await clock.advance(Math.min(50, milliseconds - passed))
      observe()
    }
  }
  const restart = (reader: number): void => {
    readers[reader].stop()
    const isSlow = schedule.lateMilliseconds > RELIABLE_DELAY_MILLISECONDS
    const peers = arePeerLinksCut || isSlow ? [] : readers.filter((peer, other) => other !== reader && peer.isLoaded())
    const peerVersions = peers.map(peer => peer.getConfiguration().version)
    const storeResponds = !table.faults.down && !isCutFromStore[reader]
    // With a store that answers nothing may be lost; without it, nothing that a reachable peer has.
    const minimumVersion = storeResponds ? lastObserved[reader].version : Math.min(lastObserved[reader].version, Math.max(...peerVersions, 0))
    restartStates[reader] = { floor: minimumVersion, pending: true }
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
      // What a restarted reader could have had is known only while nothing else changes before it has loaded.
      for (const state of restartStates) state.floor = 0
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

/** Each change names something of its own, and all sections are changed in turn. */
function createChange (number: number, subject: string): ConfigurationChange {
  if (number % 3 === 0) return { kind: 'worker-quarantine', workerId: subject }
  if (number % 3 === 1) return { kind: 'data-centre-take-out', dataCentre: subject, lost: false }
  return { kind: 'policy-apply', policyText: subject }
}

/** Accepted means durable, and a refused change was not written. */
function checkDurability (records: AuditRecord[], accepted: AuditRecord[], rejected: string[]): string[] {
  const violations: string[] = []
  for (const record of accepted) {
    const durable = records.find(other => other.toVersion === record.toVersion)
    if (durable?.writeId !== record.writeId) violations.push(`not durable: version ${record.toVersion} of ${record.reason}`)
  }
  for (const subject of rejected) {
    if (records.some(record => record.reason === subject)) violations.push(`refused but durable: ${subject}`)
  }
  for (const [position, record] of records.entries()) {
    if (record.toVersion !== position + 1) violations.push(`audit has a gap before version ${record.toVersion}`)
  }
  return violations
}

/** Each configuration that a reader had in force is one whole version, as the immutable sections give it. */
async function checkCompleteVersions (table: MemoryTableService, textsByVersion: Map<number, Set<string>>): Promise<string[]> {
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
    for (const text of texts) if (text !== expected) violations.push(`part of a version: ${text} is not ${expected}`)
  }
  return violations
}

/** In the end every reader has the newest version, and it holds every accepted change. */
async function checkConvergence (table: MemoryTableService, readers: Reader[], records: AuditRecord[]): Promise<string[]> {
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

test('changes never revert, versions are whole, and accepted means durable, under faults', async () => {
  await fastCheck.assert(fastCheck.asyncProperty(schedules, async schedule => {
    assert.deepEqual(await runSchedule(schedule, correctImplementation), [])
  }), { seed: getTestSeed(), numRuns: 150 })
})

/** A reader whose two decisions are given: what it installs, and how it assembles a version. */
function createFaultyReader (
  options: VersionedConfigurationOptions,
  mayInstall: (heard: Configuration, current: Configuration) => boolean,
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
      peer.exchangeConfiguration(current).then(heard => heard !== null && install(heard), () => {})
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

/** Turns the conditions of a transaction off, as a writer that does not name the version that it read. */
function dropConditions (transaction: Transaction): Transaction {
  return {
    operations: transaction.operations.map(operation => ({ ...operation, condition: { kind: 'any' } }))
  }
}

const faultyImplementations: Array<{ name: string, variant: Implementation, caughtBy: string }> = [
  {
    name: 'a reader that installs what it last heard',
    variant: { ...correctImplementation, createReader: options => createFaultyReader(options, () => true, false) },
    caughtBy: 'reverted'
  },
  {
    name: 'a reader that takes a peer\'s older version before the store has answered',
    variant: {
      ...correctImplementation,
      createReader: options => createFaultyReader(options, (heard, current) => heard.version > current.version, false)
    },
    caughtBy: 'reverted: reader'
  },
  {
    name: 'a reader that installs sections as they arrive',
    variant: {
      ...correctImplementation,
      createReader: options => createFaultyReader(options, (heard, current) => heard.version >= current.version, true)
    },
    caughtBy: 'part of a version'
  },
  {
    name: 'a writer that takes a lost answer for an acceptance',
    variant: {
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
    caughtBy: 'not durable'
  },
  {
    name: 'a writer that does not name the version that it read',
    variant: {
      ...correctImplementation,
      wrapForWriter: table => ({
        read: async row => await table.read(row),
        readMany: async rows => await table.readMany(rows),
        scan: async (name, options) => await table.scan(name, options),
        transact: async transaction => await table.transact(dropConditions(transaction))
      })
    },
    caughtBy: 'not durable'
  }
]

for (const { name, variant, caughtBy } of faultyImplementations) {
  test(`the proof catches ${name}`, async () => {
    const result = await fastCheck.check(fastCheck.asyncProperty(schedules, async schedule => {
      const violations = await runSchedule(schedule, variant)
      return !violations.some(violation => violation.startsWith(caughtBy))
    }), { seed: getTestSeed(), numRuns: 300, endOnFailure: true })
    assert.equal(result.failed, true)
  })
}
