import assert from 'node:assert/strict'
import { test } from 'node:test'
import { getTransferMilliseconds } from './getTransferMilliseconds.js'

/** The slowest link of an instance in the sites' files. */
const LINK_BYTES_PER_MILLISECOND = 250
/** The longest body of a call to the store. */
const LONGEST_BYTES = 1_000_000

test('allows more time than a body needs on the slowest link beside another one', () => {
  for (const bytes of [250_000, LONGEST_BYTES]) {
    assert.ok(getTransferMilliseconds(bytes) >= 2 * bytes / LINK_BYTES_PER_MILLISECOND)
  }
})

test('adds next to nothing to the time limit of a small call', () => {
  assert.equal(getTransferMilliseconds(0), 0)
  assert.ok(getTransferMilliseconds(1000) <= 10)
})
