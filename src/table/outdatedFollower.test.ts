import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createTestErrors } from '../../stand-ins/platform/createTestErrors.js'
import { silentLogger } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import type { TableFeed } from './TableFeed.js'
import { TableFollower } from './TableFollower.js'

/** Instance.isReady requires a contact that is not older. */
const READY_CONTACT_AGE_LIMIT_MILLISECONDS = 4000

test('a follower that knows of a change and cannot read it has no recent contact', async () => {
  const clock = VirtualClock.create()
  const feed = { waitForChanges: async () => ({ kind: 'too-large' }) } as unknown as TableFeed
  let isReading = false
  const follower = TableFollower.create({
    table: 'op',
    feed,
    clock,
    logger: silentLogger,
    errors: createTestErrors(clock),
    waitMilliseconds: 1500,
    startVersion: 7,
    largeTable: {
      maximumBytes: 65_536,
      reader: {
        read: async () => {
          isReading = true
          await new Promise<void>(resolve => { clock.setTimer(2500, resolve) })
          return { kind: 'unavailable', reason: 'store answered 503' }
        }
      }
    },
    random: () => 0.5,
    onSnapshot: () => assert.fail('nothing was read'),
    onChanges: () => assert.fail('nothing was read')
  })
  follower.run()
  let readySamples = 0
  let samples = 0
  for (let elapsed = 0; elapsed < 60_000; elapsed += 100) {
    await clock.advance(100)
    if (elapsed < READY_CONTACT_AGE_LIMIT_MILLISECONDS + 2000) continue
    samples++
    const age = clock.monotonicMilliseconds() - follower.getLastContactAt()
    if (age < READY_CONTACT_AGE_LIMIT_MILLISECONDS) readySamples++
  }
  follower.stop()
  assert.ok(isReading)
  assert.equal(readySamples, 0, `ready in ${readySamples} of ${samples} samples from 6 s after the change on`)
})
