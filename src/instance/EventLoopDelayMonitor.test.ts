import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { LogFields } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { createTestMetrics } from '../../stand-ins/platform/createTestMetrics.js'
import { EventLoopDelayMonitor } from './EventLoopDelayMonitor.js'

test('an episode of delays is logged as one pair of lines, with its duration and its longest delay', async () => {
  const clock = VirtualClock.create()
  const lines: Array<[string, LogFields]> = []
  const log = (message: string, fields: LogFields = {}) => { lines.push([message, fields]) }
  const metrics = createTestMetrics(true)
  const monitor = EventLoopDelayMonitor.create({ clock, metrics, logger: { info: log, warn: log, error: log } })
  const tickAfter = async (delay: number) => {
    const dueAt = clock.monotonicMilliseconds() + 200
    await clock.advance(200 + delay)
    monitor.recordTick(dueAt)
  }
  for (const delay of [5, 300, 20, 600, 20]) await tickAfter(delay)
  for (let tick = 0; tick < 12; tick++) await tickAfter(0)
  assert.deepEqual(lines, [
    ['event loop is late', { delayMilliseconds: 300 }],
    ['event loop is on time again', { lateForMilliseconds: 1020, longestDelayMilliseconds: 600 }]
  ])
  const { values } = await metrics.loopDelaySeconds.get()
  assert.equal(values.find(({ metricName }) => metricName?.endsWith('_count'))?.value, 17)
})
