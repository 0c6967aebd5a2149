import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { MemoryTableService } from '../../stand-ins/table-service/MemoryTableService.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { getTestSeed } from '../shared/testSeed.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { SettledWriter } from './SettledWriter.js'
import type { Transaction } from './TableService.js'

function createMarkerPut (key: string, writeId: string): Transaction {
  return { operations: [{ kind: 'put', table: 'log', key, value: { writeId }, condition: { kind: 'absent' } }] }
}

test('a write whose answers are lost is applied exactly once and reported truthfully', async () => {
  const schedules = fastCheck.record({
    seed: fastCheck.integer(),
    lostAnswerShare: fastCheck.double({ min: 0, max: 1, noNaN: true }),
    lostRequestShare: fastCheck.double({ min: 0, max: 0.9, noNaN: true }),
    rivalFirst: fastCheck.boolean()
  })
  await fastCheck.assert(fastCheck.asyncProperty(schedules, async schedule => {
    const clock = VirtualClock.create()
    const table = MemoryTableService.create({ random: createRandom(schedule.seed) })
    if (schedule.rivalFirst) await table.transact(createMarkerPut('1', 'rival'))
    table.faults.lostAnswerShare = schedule.lostAnswerShare
    table.faults.lostRequestShare = schedule.lostRequestShare
    const writer = SettledWriter.create({ tableService: table, clock })
    const marker = { table: 'log', key: '1', writeId: 'mine' }
    const pending = writer.transactAndSettle(createMarkerPut('1', 'mine'), marker, { deadlineMilliseconds: 20_000 })
    await clock.advance(30_000)
    const outcome = await pending
    const read = await table.read({ table: 'log', key: '1' })
    const storedWriteId = read.kind === 'ok' ? (read.value?.value as { writeId: string } | undefined)?.writeId : undefined
    if (outcome.kind === 'committed') assert.equal(storedWriteId, 'mine')
    if (outcome.kind === 'conflict') assert.equal(storedWriteId, 'rival')
    if (outcome.kind === 'unavailable') assert.notEqual(storedWriteId, 'mine')
  }), { seed: getTestSeed(), numRuns: 200 })
})

test('an outage longer than the deadline is reported as certain failure', async () => {
  const clock = VirtualClock.create()
  const table = MemoryTableService.create()
  table.faults.down = true
  const writer = SettledWriter.create({ tableService: table, clock })
  const marker = { table: 'log', key: '1', writeId: 'mine' }
  const pending = writer.transactAndSettle(createMarkerPut('1', 'mine'), marker, { deadlineMilliseconds: 1000 })
  await clock.advance(2000)
  assert.equal((await pending).kind, 'unavailable')
})
