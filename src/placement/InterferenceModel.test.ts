import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createRandom } from '../../stand-ins/shared/createRandom.js'
import { getTestSeed } from '../shared/testSeed.js'
import { InterferenceModel, type InterferenceGrouping } from './InterferenceModel.js'

const KINDS = 4
const REPORTS = 3000
const HOUR = 3_600_000

/** Compares predictions after many mixed reports with the true slowdowns of plain coefficients. */
function checkPredictions (grouping: InterferenceGrouping): void {
  const trueCoefficients = fc.array(fc.constantFrom(0, 0, 1, 4), { minLength: KINDS * KINDS, maxLength: KINDS * KINDS })
    .filter(list => new Set(list.slice(0, KINDS)).size > 1)
  fc.assert(fc.property(trueCoefficients, fc.integer(), (coefficients, seed) => {
    const model = InterferenceModel.create({ grouping })
    const random = createRandom(seed)
    const draw = () => {
      const neighbours = []
      for (let kind = 0; kind < KINDS; kind++) if (random() < 0.5) neighbours.push({ kind, share: random() * 0.4 })
      const kind = Math.floor(random() * KINDS)
      const slowdown = neighbours.reduce(
        (sum, neighbour) => sum + coefficients[kind * KINDS + neighbour.kind] * neighbour.share, 1)
      return { kind, neighbours, slowdown }
    }
    for (let report = 0; report < REPORTS; report++) {
      const { kind, neighbours, slowdown } = draw()
      model.record(kind, neighbours, 0, slowdown * (0.95 + 0.1 * random()), report)
    }
    let error = 0
    for (let trial = 0; trial < 100; trial++) {
      const { kind, neighbours, slowdown } = draw()
      error += Math.abs(model.predict(kind, neighbours, 0) - slowdown) / 100
    }
    assert.ok(error < 0.1, `mean error ${error}`)
  }), { seed: getTestSeed(), numRuns: 30, endOnFailure: true })
}

test('predictions come near the true slowdowns of mixed neighbourhoods', () => {
  checkPredictions('pair')
})

for (const grouping of ['kind', 'none'] as const) {
  test(`the check of predictions catches a model that tells apart: ${grouping}`, () => {
    assert.throws(() => checkPredictions(grouping), /Property failed/)
  })
}

test('what was learned fades when it is not seen again', () => {
  const model = InterferenceModel.create()
  for (let report = 0; report < 200; report++) model.record(0, [{ kind: 1, share: 0.5 }], 2, 3, report)
  const before = model.getCoefficient(0, 1, 2)
  assert.ok(before > 3, `coefficient ${before}`)
  model.record(2, [], 0, 1, 2 * HOUR)
  assert.ok(Math.abs(model.getCoefficient(0, 1, 2) / before - 0.25) < 0.01)
})

test('load bands are learned apart, and kinds beyond the first table are learned too', () => {
  const model = InterferenceModel.create()
  for (let report = 0; report < 100; report++) model.record(40, [{ kind: 50, share: 0.5 }], 0, 2, report)
  assert.ok(model.predict(40, [{ kind: 50, share: 0.5 }], 0) > 1.9)
  assert.equal(model.predict(40, [{ kind: 50, share: 0.5 }], 1), 1)
  assert.deepEqual([0.1, 0.6, 0.7, 0.85, 2].map(load => InterferenceModel.getBand(load)), [0, 1, 1, 2, 2])
})

test('learned interference survives a snapshot', () => {
  const model = InterferenceModel.create()
  for (let report = 0; report < 100; report++) model.record(1, [{ kind: 2, share: 0.5 }], 1, 2, report)
  const restored = InterferenceModel.create()
  restored.import(JSON.parse(JSON.stringify(model.export(kind => `k${kind}`))), name => Number(name.slice(1)))
  const difference = restored.predict(1, [{ kind: 2, share: 0.5 }], 1) - model.predict(1, [{ kind: 2, share: 0.5 }], 1)
  assert.ok(Math.abs(difference) < 0.01)
})
