import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { MemoryTableService } from '../../stand-ins/table-service/MemoryTableService.js'
import { getTestSeed } from '../shared/testSeed.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import type { JsonValue } from '../table/TableService.js'
import { AuditLog, type AuditFilter } from './AuditLog.js'
import { AUDIT_TABLE, formatAuditKey, formatTaskAuditKey, type AuditRecord } from './AuditRecord.js'

/** More versions than two windows of a listing hold. */
const VERSIONS = 1100
const HOUR = 3_600_000

/** Writes one configuration change an hour, and a task command after every third change, by three operators in turn. */
async function createRecords (table: MemoryTableService): Promise<AuditRecord[]> {
  const records: AuditRecord[] = []
  for (let version = 1; version <= VERSIONS; version++) {
    const at = new Date(version * HOUR).toISOString()
    const common = { writeId: `w${version}`, operator: `o${version % 3}`, at, reason: 'r', summary: 's', subject: null }
    records.push({ ...common, kind: 'policy-apply', fromVersion: version - 1, toVersion: version })
    if (version % 3 === 0) records.push({ ...common, kind: 'task-cancel', fromVersion: version, toVersion: version })
  }
  const operations = records.map(record => ({
    kind: 'put' as const,
    table: AUDIT_TABLE,
    key: record.kind === 'task-cancel'
      ? formatTaskAuditKey(record.toVersion, record.at, record.writeId)
      : formatAuditKey(record.toVersion),
    value: record as unknown as JsonValue,
    condition: { kind: 'absent' as const }
  }))
  await table.transact({ operations })
  return records
}

const hours = fastCheck.option(
  fastCheck.integer({ min: 0, max: VERSIONS + 1 }).map(hour => new Date(hour * HOUR).toISOString()), { nil: undefined }
)
const filters: fastCheck.Arbitrary<AuditFilter> = fastCheck.record({
  since: hours,
  until: hours,
  operator: fastCheck.option(fastCheck.constantFrom('o0', 'o1', 'nobody'), { nil: undefined }),
  kinds: fastCheck.option(fastCheck.constantFrom(['policy-apply' as const], ['task-cancel' as const]), { nil: undefined }),
  limit: fastCheck.option(fastCheck.integer({ min: 1, max: 2000 }), { nil: undefined })
})

test('a listing read backwards in windows equals a filter over all records', async () => {
  const table = MemoryTableService.create()
  const records = await createRecords(table)
  const log = AuditLog.create({ tableService: table, clock: VirtualClock.create() })
  await fastCheck.assert(fastCheck.asyncProperty(filters, async filter => {
    const { since = '', until = '9', operator, kinds, limit } = filter
    const expected = records.filter(record => record.at >= since && record.at < until &&
      (operator === undefined || record.operator === operator) && (kinds?.includes(record.kind) ?? true))
    const listed = await log.list(filter, VERSIONS)
    assert.deepEqual(listed, { kind: 'ok', value: limit === undefined ? expected : expected.slice(-limit) })
  }), { seed: getTestSeed(), numRuns: 60 })
})

test('a listing of the newest records does not read older windows', async () => {
  const table = MemoryTableService.create()
  await createRecords(table)
  table.counters.reads = 0
  await AuditLog.create({ tableService: table, clock: VirtualClock.create() }).list({ limit: 10 }, VERSIONS)
  assert.ok(table.counters.reads <= 2, String(table.counters.reads))
})
