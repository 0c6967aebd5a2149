import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EmulatedTables } from '../../stand-ins/platform/EmulatedTables.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { SettledWriter } from './SettledWriter.js'
import type { Operation } from './TableService.js'
import { TransactionRepeater } from './TransactionRepeater.js'

const OPTIONS = { deadlineMilliseconds: 1500 }

function createHarness () {
  const clock = VirtualClock.create()
  const tables = EmulatedTables.create({ clock })
  let randomNumber = 0
  const client = tables.createClient(() => randomNumber)
  const repeater = TransactionRepeater.create({
    clock, repeatsPerSecond: 40, isOverloaded: () => false, onRepeat: () => {}
  })
  const writer = SettledWriter.create({ tableService: client, clock, repeats: { repeater, write: 'progress' } })
  const marker = { table: 'heads', key: 'site', writeId: 'w' }
  const operation: Operation = {
    kind: 'put', table: 'heads', key: 'site', value: { writeId: 'w' }, condition: { kind: 'absent' }
  }
  const transaction = { operations: [operation] }
  const setRandom = (value: number) => { randomNumber = value }
  return { clock, tables, client, writer, marker, transaction, setRandom }
}

test('a write whose response is lost is settled by the conflict of its repeat', async () => {
  const { clock, client, writer, marker, transaction, setRandom } = createHarness()
  client.faults.lostAnswerShare = 0.5
  const pending = writer.transactAndSettle(transaction, marker, OPTIONS)
  await clock.advance(100)
  setRandom(0.9)
  await clock.advance(200)
  assert.deepEqual(await pending, { kind: 'committed', versions: [] })
})

test('a conflict of a repeat with a row of another writer is a conflict', async () => {
  const { clock, tables, client, writer, marker, transaction, setRandom } = createHarness()
  client.faults.lateShare = 0.5
  const pending = writer.transactAndSettle(transaction, marker, OPTIONS)
  await clock.advance(100)
  setRandom(0.9)
  const other: Operation = {
    kind: 'put', table: 'heads', key: 'site', value: { writeId: 'other' }, condition: { kind: 'any' }
  }
  tables.apply({ operations: [other] })
  await clock.advance(200)
  assert.equal((await pending).kind, 'conflict')
  await clock.advance(5000)
  assert.deepEqual(tables.get(marker)?.value, { writeId: 'other' })
})
