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

test('handles responses that arrive at the same time one after another', async () => {
  const { clock, processor, events, note } = createProcessor(0.1)
  for (const name of ['a', 'b', 'c']) processor.handle('connection', note(name))
  await clock.advance(100)
  assert.deepEqual(events, [['a', 0], ['b', 10], ['c', 20]])
  assert.equal(Math.round(processor.maximumQueueDelay), 20)
  assert.equal(processor.usedMilliseconds, 3)
})

test('fires a timer that falls due while the processor is busy before a response that arrived earlier', async () => {
  const { clock, processor, events, note } = createProcessor(0.1)
  processor.clock.setTimer(5, note('timer'))
  processor.handle('connection', note('first answer'))
  clock.setTimer(2, () => processor.handle('connection', note('second answer')))
  await clock.advance(100)
  assert.deepEqual(events, [['first answer', 0], ['timer', 10], ['second answer', 10]])
})

test('counts timer delays from the start of the loop iteration, so that busy time is part of the delay', async () => {
  const { clock, processor, events, note } = createProcessor(0.1)
  processor.handle('answer', () => {
    processor.charge('connection', 3)
    processor.clock.setTimer(30, note('timer'))
  })
  await clock.advance(100)
  assert.deepEqual(events, [['timer', 35]])
})

test('advances the clock of the process by the processor time it has used', async () => {
  const { clock, processor } = createProcessor(0.5)
  await clock.advance(10)
  processor.charge('connection', 4)
  assert.equal(processor.clock.monotonicMilliseconds(), 18)
  assert.equal(processor.getBusyMilliseconds(), 8)
})
