import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { LimitedStore } from '../../stand-ins/platform/LimitedStore.js'
import { DispatchEngine, type LearnedEffects } from '../dispatch/index.js'
import { SHARD_TABLE } from '../leases/ShardLease.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { DEFAULT_TABLE_LIMITS } from '../table/TableLimits.js'
import { LEARNED_TABLE } from './jobRows.js'
import { LearnedEffectsWriter } from './LearnedEffectsWriter.js'

const SERVING_IMAGES = 60
const BEST_EFFORT_IMAGES = 40

function createLearned (): LearnedEffects {
  const engine = DispatchEngine.create({ epoch: 1 })
  const names = Array.from({ length: SERVING_IMAGES }, (_, index) => `serving-${index}`.padEnd(100, '.'))
  const effects = Object.fromEntries(Array.from({ length: BEST_EFFORT_IMAGES }, (_, index) =>
    [`batch-${index}`.padEnd(100, '.'), [-3, 1]]))
  const learned = Object.fromEntries(names.map(name => [name, { headroom: [2, 1], effects }]))
  engine.advisor.import(learned as unknown as LearnedEffects)
  return engine.advisor.export()
}

test('learned interference that exceeds a row of the store is stored in several rows', async () => {
  const clock = VirtualClock.create(1000)
  const store = LimitedStore.create()
  await store.client.transact({
    operations: [{ kind: 'put', table: SHARD_TABLE, key: 'site', value: {}, condition: { kind: 'any' } }]
  })
  const learned = createLearned()
  const engine = DispatchEngine.create({ epoch: 2 })
  engine.advisor.import(learned)
  const writer = LearnedEffectsWriter.create({
    shardId: 'site',
    engine,
    fence: { epoch: 2, rowVersion: 1 },
    tableService: store.client,
    tableLimits: DEFAULT_TABLE_LIMITS,
    logger: silentLogger,
    errors: createTestErrors(clock)
  })
  writer.storeIfDue(1000)
  await clock.advance(1000)
  const rows = store.getRows(LEARNED_TABLE)
  assert.ok(rows.length > 1)
  const successor = DispatchEngine.create({ epoch: 3 })
  for (const { value } of rows) successor.advisor.import(value as unknown as LearnedEffects)
  assert.deepEqual(successor.advisor.export(), learned)
})
