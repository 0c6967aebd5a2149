import assert from 'node:assert/strict'
import { test } from 'node:test'
import snap from '@matteo.collina/snap'
import { simulatePlans } from '../../stand-ins/platform/simulatePlans.js'

const matchSnapshot = snap(import.meta.url)

test('a faster search for workers starts and moves the same tasks in the same sequence', async () => {
  const sequences = [1, 2, 3].map(seed => simulatePlans({ seed, workerCount: 8, planCount: 90 }))
  assert.deepEqual(sequences, await matchSnapshot(sequences))
})
