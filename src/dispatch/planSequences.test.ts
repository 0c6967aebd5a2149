import assert from 'node:assert/strict'
import { test } from 'node:test'
import snap from '@matteo.collina/snap'
import { playPlans } from '../../stand-ins/platform/playPlans.js'

const matchSnapshot = snap(import.meta.url)

test('starts and moves the same tasks in the same sequence as the snapshot', async () => {
  const sequences = [1, 2, 3].map(seed => playPlans({ seed, workerCount: 8, planCount: 90 }))
  assert.deepEqual(sequences, await matchSnapshot(sequences))
})
