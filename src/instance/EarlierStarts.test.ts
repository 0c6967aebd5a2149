import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EarlierStarts } from './EarlierStarts.js'

test('jobs may have been started by an earlier owner until the feed was read after its last start', () => {
  const starts = EarlierStarts.create({ endAt: 5000 })
  const areOver = [-Infinity, 4000, 5500, 6000].map(feedReadAt => {
    starts.update(feedReadAt)
    return starts.areOver
  })
  assert.deepEqual(areOver, [false, false, false, true])
})

test('no job was started by an earlier owner that has stopped before the load', () => {
  assert.equal(EarlierStarts.create({ endAt: null }).areOver, true)
})
