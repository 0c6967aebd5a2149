import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { getTestSeed } from '../shared/testSeed.js'
import type { ResourceVector } from './resourceVector.js'
import { SizeEstimator } from './SizeEstimator.js'

const DECLARED: ResourceVector = [4000, 8000, 1]
const HOUR = 3_600_000

/** Compares reservations with exact quantiles; a reservation may be one bucket (a fifth) larger, but never smaller. */
function checkReservations (create: () => Pick<SizeEstimator, 'record' | 'getReservation'>): void {
  const samples = fc.array(fc.tuple(fc.integer({ min: 10, max: 9000 }), fc.integer({ min: 8, max: 16000 })), {
    minLength: 20, maxLength: 200
  })
  fc.assert(fc.property(samples, list => {
    const estimator = create()
    list.forEach(([millicores, memory], index) => {
      estimator.record('draft', [millicores, memory, 0], index < 5, 0)
    })
    const reserved = estimator.getReservation('draft', DECLARED, 0)
    for (const [dimension, quantile] of [[0, 0.95], [1, 0.99]] as const) {
      const sorted = list.map(sample => sample[dimension]).sort((left, right) => left - right)
      const exact = Math.max(DECLARED[dimension] * 0.2, sorted[Math.ceil(sorted.length * quantile) - 1])
      assert.ok(reserved[dimension] >= exact, `${reserved[dimension]} is below ${exact}`)
      assert.ok(reserved[dimension] <= exact * 1.2 + 1, `${reserved[dimension]} is above ${exact}`)
    }
    assert.equal(reserved[2], 1)
  }), { seed: getTestSeed(), endOnFailure: true })
}

test('reserves the quantiles of the reported use', () => {
  checkReservations(() => SizeEstimator.create())
})

const brokenVariants: Record<string, (estimator: SizeEstimator) => Pick<SizeEstimator, 'record' | 'getReservation'>> = {
  'that reserves the declared size': estimator => ({
    record: estimator.record.bind(estimator), getReservation: (_kind, declared) => declared
  }),
  'that loses large samples': estimator => ({
    record: (kind, used, first, now) => estimator.record(kind, [used[0], Math.min(used[1], 9000), 0], first, now),
    getReservation: estimator.getReservation.bind(estimator)
  })
}

for (const [name, breakEstimator] of Object.entries(brokenVariants)) {
  test(`the check of reservations detects an estimator ${name}`, () => {
    assert.throws(() => checkReservations(() => breakEstimator(SizeEstimator.create())), /Property failed/)
  })
}

const cases = [
  { name: 'too few samples', samples: 19, tasks: 5, age: 0, expected: DECLARED },
  { name: 'too few tasks', samples: 100, tasks: 4, age: 0, expected: DECLARED },
  { name: 'enough samples', samples: 20, tasks: 5, age: 0, expected: [1145, 2279, 1] },
  { name: 'samples from five hours ago', samples: 100, tasks: 5, age: 5 * HOUR, expected: DECLARED }
]

for (const { name, samples, tasks, age, expected } of cases) {
  test(`computes the reservation with ${name}`, () => {
    const estimator = SizeEstimator.create()
    for (let index = 0; index < samples; index++) estimator.record('draft', [1000, 2000, 0], index < tasks, 0)
    assert.deepEqual(estimator.getReservation('draft', DECLARED, age), expected)
  })
}

test('restores learned sizes from a snapshot', () => {
  const estimator = SizeEstimator.create()
  for (let index = 0; index < 50; index++) estimator.record('draft', [1000 + index, 2000, 0], index < 5, index)
  const restored = SizeEstimator.create()
  restored.import(JSON.parse(JSON.stringify(estimator.export())))
  assert.deepEqual(restored.getReservation('draft', DECLARED, 50), estimator.getReservation('draft', DECLARED, 50))
})
