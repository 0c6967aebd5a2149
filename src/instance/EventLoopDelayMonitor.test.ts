import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Registry } from 'prom-client'
import type { LogFields } from '../shared/Logger.js'
import { VirtualClock } from '../shared/VirtualClock.js'
import { createInstanceMetrics } from './InstanceMetrics.js'
import { EventLoopDelayMonitor } from './EventLoopDelayMonitor.js'

test('one pair of lines covers an episode of delays, with its length and longest delay', async () => {
  const clock = VirtualClock.create()
  const lines: Array<[string, LogFields]> = []
  const log = (message: string, fields: LogFields = {}) => { lines.push([message, fields]) }
  const metrics = createInstanceMetrics(new Registry(), { isOwner: () => true, countLiveJobs: () => 0 })
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
