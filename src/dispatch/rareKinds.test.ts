import assert from 'node:assert/strict'
import { test } from 'node:test'
import { playOverload } from '../../stand-ins/platform/playOverload.js'
import { scoreKind } from '../../stand-ins/platform/scoreOverload.js'
import { createUniformMix } from '../../stand-ins/platform/sizeMixes.js'
import { getTestSeed } from '../shared/testSeed.js'

const ARRIVAL_MILLISECONDS = 120_000

// A class of sizes with about one arrival in the time over which they are counted never had the lowest share.
test('a kind with few jobs is served half as often as another one of its priority in a heavy overload', context => {
  const jobs = playOverload({
    seed: getTestSeed(),
    kinds: [
      { queueName: 'frequent', priority: 0, mix: createUniformMix(60, 160), load: 6 },
      { queueName: 'rare', priority: 0, mix: createUniformMix(10, 80), load: 0.1 }
    ],
    limit: 'reserved',
    arrivalMilliseconds: ARRIVAL_MILLISECONDS
  })
  const [frequent, rare] = ['frequent', 'rare'].map(name => jobs.filter(({ queueName }) => queueName === name))
  const shares = [scoreKind(frequent).whole.inTime, scoreKind(rare).whole.inTime]
  context.diagnostic(`${frequent.length} and ${rare.length} jobs, ${shares.join(' and ')} in time`)
  assert.ok(shares[1] >= shares[0] * 0.5, `${shares.join(' and ')} in time`)
})
