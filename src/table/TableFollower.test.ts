import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { EmulatedTables } from '../../stand-ins/platform/EmulatedTables.js'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { TableFollower } from './TableFollower.js'

/** The wait of the loop, whose responses come only at its end. */
const WAIT_MILLISECONDS = 60_000

function createFollower () {
  const clock = VirtualClock.create(1000)
  const tables = EmulatedTables.create({ clock })
  const client = tables.createClient(createRandom(1))
  const keys: string[] = []
  let immediateReads = 0
  const follower = TableFollower.create({
    table: 'jobs',
    startVersion: 0,
    feed: {
      readTable: async table => await client.readTable(table),
      readTableWithin: async (table, maximumBytes) => await client.readTableWithin(table, maximumBytes),
      waitForChanges: async (table, after, wait) => {
        if (wait === 0) immediateReads++
        else await new Promise<void>(resolve => { clock.setTimer(wait, resolve) })
        return await client.waitForChanges(table, after, 0)
      }
    },
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    waitMilliseconds: WAIT_MILLISECONDS,
    random: createRandom(2),
    onSnapshot: ({ rows }) => keys.push(...rows.map(({ key }) => key)),
    onChanges: changes => keys.push(...changes.map(({ key }) => key))
  })
  const put = (key: string) => tables.apply({
    operations: [{ kind: 'put', table: 'jobs', key, value: {}, condition: { kind: 'any' } }]
  })
  return { clock, tables, client, follower, keys, put, countReads: () => immediateReads }
}

test('catching up passes on the rows that were stored before, without the wait of the loop', async () => {
  const { clock, tables, follower, keys, put, countReads } = createFollower()
  follower.run()
  put('a')
  const first = follower.catchUp()
  await clock.advance(1)
  put('b')
  const others = Array.from({ length: 50 }, () => follower.catchUp())
  await clock.advance(20)
  await Promise.all([first, ...others])
  assert.deepEqual([...new Set(keys)], ['a', 'b'])
  assert.equal(countReads(), 2)
  put('c')
  tables.compact()
  const afterCompaction = follower.catchUp()
  await clock.advance(50)
  await afterCompaction
  assert.equal(keys.at(-1), 'c')
  follower.stop()
})

test('catching up repeats a failed read and ends when the follower is stopped', async () => {
  const { clock, client, follower, keys, put } = createFollower()
  put('a')
  client.faults.cutOff = true
  const repeated = follower.catchUp()
  await clock.advance(3000)
  client.faults.cutOff = false
  await clock.advance(3000)
  await repeated
  assert.deepEqual(keys, ['a'])
  client.faults.cutOff = true
  const stopped = follower.catchUp()
  follower.stop()
  await clock.advance(3000)
  await stopped
})
