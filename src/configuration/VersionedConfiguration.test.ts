import assert from 'node:assert/strict'
import { test } from 'node:test'
import { MemoryTableService } from '../../stand-ins/table-service/MemoryTableService.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import type { ConfigurationChange } from './ConfigurationChange.js'
import type { ConfigurationPeer } from './ConfigurationPeer.js'
import { ConfigurationWriter } from './ConfigurationWriter.js'
import { VersionedConfiguration } from './VersionedConfiguration.js'

const clock = VirtualClock.create()

function createReader (table: MemoryTableService, peers: ConfigurationPeer[] = []): VersionedConfiguration {
  return VersionedConfiguration.create({ tableService: table, clock, logger: silentLogger, peers: () => peers })
}

async function applyChange (table: MemoryTableService, change: ConfigurationChange): Promise<void> {
  const writer = ConfigurationWriter.create({ tableService: table, clock })
  const base = await writer.readBase()
  assert.ok(base.kind === 'ok')
  const outcome = await writer.write(base.value, change, { operator: 'linh', reason: 'test' })
  assert.equal(outcome.kind, 'ok')
}

test('a change is in force within one poll interval, and listeners hear of it', async () => {
  const table = MemoryTableService.create()
  const reader = createReader(table)
  const notifiedVersions: number[] = []
  reader.subscribe(configuration => notifiedVersions.push(configuration.version))
  assert.equal(reader.isLoaded(), false)
  reader.start()
  await clock.advance(10)
  assert.equal(reader.isLoaded(), true)
  await applyChange(table, { kind: 'data-centre-take-out', dataCentre: 'south-a', lost: false })
  await clock.advance(1000)
  assert.deepEqual(reader.getConfiguration().dataCentres, [{ name: 'south-a', state: 'out', lost: false }])
  assert.deepEqual(notifiedVersions, [1])
  reader.stop()
})

test('only the sections that changed are read again', async () => {
  const table = MemoryTableService.create()
  const rows: string[] = []
  const readMany = table.readMany.bind(table)
  table.readMany = async keys => {
    rows.push(...keys.map(key => key.key))
    return await readMany(keys)
  }
  const reader = createReader(table)
  await applyChange(table, { kind: 'policy-apply', policyText: 'x' })
  reader.start()
  await clock.advance(10)
  await applyChange(table, { kind: 'worker-quarantine', workerId: 'w1' })
  rows.length = 0
  await clock.advance(1000)
  assert.deepEqual(rows, ['head', 'workers@2'])
  assert.equal(reader.getConfiguration().policyText, 'x')
  reader.stop()
})

test('a reader that starts in an outage takes the highest version of its peers', async () => {
  const table = MemoryTableService.create()
  const peers: VersionedConfiguration[] = []
  for (const workerId of ['w1', 'w2']) {
    await applyChange(table, { kind: 'worker-quarantine', workerId })
    const peer = createReader(table)
    peer.start()
    await clock.advance(10)
    peer.stop()
    peers.push(peer)
  }
  table.faults.down = true
  const reader = createReader(table, peers.map(peer => ({
    exchangeConfiguration: async own => peer.answerExchange(own)
  })))
  reader.start()
  await clock.advance(10)
  assert.equal(reader.isLoaded(), true)
  assert.equal(reader.getConfiguration().version, 2)
  reader.stop()
})

test('a lower version from a late message is not installed', async () => {
  const table = MemoryTableService.create()
  const reader = createReader(table)
  await applyChange(table, { kind: 'worker-quarantine', workerId: 'w1' })
  reader.start()
  await clock.advance(10)
  const old = reader.getConfiguration()
  await applyChange(table, { kind: 'worker-release', workerId: 'w1' })
  await clock.advance(1000)
  assert.equal(reader.installIfNewer(old), false)
  assert.equal(reader.getConfiguration().version, 2)
  reader.stop()
})

test('the loser of a race learns who won, when, and with which version, and has written nothing', async () => {
  const table = MemoryTableService.create()
  const writer = ConfigurationWriter.create({ tableService: table, clock })
  const base = await writer.readBase()
  assert.ok(base.kind === 'ok')
  await applyChange(table, { kind: 'worker-quarantine', workerId: 'w1' })
  const origin = { operator: 'minh', reason: 'test' }
  const lost = await writer.write(base.value, { kind: 'worker-quarantine', workerId: 'w2' }, origin)
  const changedAt = new Date(clock.wallMilliseconds()).toISOString()
  assert.deepEqual(lost, {
    kind: 'failed',
    failure: { kind: 'lost-race', baseVersion: 0, winner: { version: 1, changedBy: 'linh', changedAt } }
  })
  const audit = await table.scan('audit')
  assert.equal(audit.kind === 'ok' && audit.value.length, 1)
})

test('taking a data centre out sets its row, which the journal batches of schedulers check', async () => {
  const table = MemoryTableService.create()
  await applyChange(table, { kind: 'data-centre-take-out', dataCentre: 'south-a', lost: true })
  const row = await table.read({ table: 'data-centres', key: 'south-a' })
  assert.deepEqual(row.kind === 'ok' && row.value?.value, { state: 'out', lost: true, version: 1 })
})
