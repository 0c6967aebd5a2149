import assert from 'node:assert/strict'
import { test } from 'node:test'
import { fitLine } from './fitLine.js'

test('fitLine recovers the line on which all points lie', () => {
  const line = fitLine([1, 2, 5].map(size => ({ size, cost: 3 + 4 * size })))
  assert.ok(Math.abs(line.slope - 4) < 1e-9)
  assert.ok(Math.abs(line.intercept - 3) < 1e-9)
})
