import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualClock } from '../../src/shared/VirtualClock.js'
import { EmulatedProcessor } from './EmulatedProcessor.js'

function createProcessor (share: number) {
  const clock = VirtualClock.create()
  const processor = EmulatedProcessor.create({ clock, share })
  const events: Array<[string, number]> = []
  const record = (name: string) => () => { events.push([name, Math.round(clock.monotonicMilliseconds())]) }
  return { clock, processor, events, note: record }
}

test('answers that arrive together are handled one after another', async () => {
  const { clock, processor, events, note } = createProcessor(0.1)
  for (const name of ['a', 'b', 'c']) processor.handle('connection', note(name))
  await clock.advance(100)
  assert.deepEqual(events, [['a', 0], ['b', 10], ['c', 20]])
  assert.equal(Math.round(processor.maximumQueueDelay), 20)
  assert.equal(processor.usedMilliseconds, 3)
})

test('a timer that falls due while the process works fires when it is free, before an answer that came earlier', async () => {
  const { clock, processor, events, note } = createProcessor(0.1)
  processor.clock.setTimer(5, note('timer'))
  processor.handle('connection', note('first answer'))
  clock.setTimer(2, () => processor.handle('connection', note('second answer')))
  await clock.advance(100)
  assert.deepEqual(events, [['first answer', 0], ['timer', 10], ['second answer', 10]])
})

test('a delay counts from the beginning of the round, so long work uses it up', async () => {
  const { clock, processor, events, note } = createProcessor(0.1)
  processor.handle('answer', () => {
    processor.charge('connection', 3)
    processor.clock.setTimer(30, note('timer'))
  })
  await clock.advance(100)
  assert.deepEqual(events, [['timer', 35]])
})

test('the process reads a clock that has passed by its own work', async () => {
  const { clock, processor } = createProcessor(0.5)
  await clock.advance(10)
  processor.charge('connection', 4)
  assert.equal(processor.clock.monotonicMilliseconds(), 18)
  assert.equal(processor.getBusyMilliseconds(), 8)
})
