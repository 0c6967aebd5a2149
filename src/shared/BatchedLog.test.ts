import assert from 'node:assert/strict'
import { test } from 'node:test'
import { BatchedLog } from './BatchedLog.js'
import { silentLogger } from './Logger.js'
import { VirtualClock } from './VirtualClock.js'

function createLog () {
  const clock = VirtualClock.create()
  const lines: unknown[] = []
  const logger = { ...silentLogger, info: (message: string, fields = {}) => lines.push([message, fields]) }
  return { clock, lines, log: BatchedLog.create({ clock, logger, message: 'started' }) }
}

test('logs the events of a tenth of a second in one line, in their order', async () => {
  const { clock, lines, log } = createLog()
  log.add('a')
  await clock.advance(60)
  log.add('b')
  assert.deepEqual(lines, [])
  await clock.advance(40)
  assert.deepEqual(lines, [['started', { events: ['a', 'b'] }]])
  await clock.advance(1000)
  assert.equal(lines.length, 1)
})

test('bounds the length of a line, and logs the remaining events when it is flushed', () => {
  const { lines, log } = createLog()
  for (let number = 0; number < 150; number++) log.add(number)
  assert.equal(lines.length, 1)
  log.flush()
  log.flush()
  assert.equal(lines.length, 2)
  assert.deepEqual(lines.map(line => ((line as [string, { events: number[] }])[1].events.length)), [100, 50])
})
